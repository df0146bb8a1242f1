from random import Random

import pytest
from paddleshunt_core.ids import Incarnation
from paddleshunt_core.links import FULL_SECONDS, UNRESPONSIVE_SECONDS, Link, Outstanding
from paddleshunt_core.messages import Load
from paddleshunt_core.placement import PROBE_SECONDS, Placement

NOW = 100.0


def link(name: str, site: str = "hall", *, running: int = 0, slots: int = 4) -> Link:
    return Link(Incarnation(name, "1"), name, site, Load(slots, running), NOW, 0.0, last_sent=NOW)


def hold(target: Link, tasks: int) -> None:
    for index in range(tasks):
        target.outstanding[("s", index)] = Outstanding(1, NOW, NOW)


@pytest.fixture
def placement(rng: Random) -> Placement:
    return Placement("hall", rng, pipeline=2)


def take(placement: Placement, links: list[Link], count: int) -> list[str | None]:
    plan = placement.plan(links, NOW, set())
    taken = [plan.next_target() for _ in range(count)]
    return [each.incarnation.host if each else None for each in taken]


def test_least_loaded_first(placement: Placement) -> None:
    links = [link("a", running=3), link("b"), link("c", running=1)]
    assert take(placement, links, 2) == ["b", "b"] or take(placement, links, 1) == ["b"]


def test_half_of_the_own_site_then_free_slots_anywhere(placement: Placement) -> None:
    links = [link("near", slots=4), link("far", "depot", slots=4)]
    taken = take(placement, links, 8)
    assert taken[:2] == ["near", "near"]
    assert sorted(str(host) for host in taken[2:]) == ["far"] * 4 + ["near"] * 2


def test_own_site_then_other_site_then_queues(placement: Placement) -> None:
    links = [link("near", slots=1), link("far", "depot", slots=1)]
    assert take(placement, links, 7) == ["near", "far", "near", "near", "far", "far", None]


@pytest.mark.parametrize("flaw", ["suspect", "leaving"])
def test_unusable_target_gets_nothing(placement: Placement, flaw: str) -> None:
    only = link("a")
    setattr(only, flaw, True)
    assert take(placement, [only], 1) == [None]


def test_target_that_owes_an_answer_gets_nothing(placement: Placement) -> None:
    only = link("a")
    only.asked_at = NOW - UNRESPONSIVE_SECONDS - 0.1
    assert take(placement, [only], 1) == [None]


def test_closed_site_and_missing_share_get_nothing(placement: Placement) -> None:
    plan = placement.plan([link("a", "depot"), link("b", slots=0)], NOW, {"depot"})
    assert plan.next_target() is None


def test_refusal_is_waited_out(placement: Placement) -> None:
    only = link("a")
    only.full_until = NOW + FULL_SECONDS
    assert take(placement, [only], 1) == [None]
    assert placement.plan([only], NOW + FULL_SECONDS, set()).next_target() is only


def test_target_that_seems_full_is_probed_with_one_task(placement: Placement) -> None:
    full = link("a", running=6)
    assert take(placement, [full], 1) == [None]
    full.last_sent = NOW - PROBE_SECONDS
    assert take(placement, [full], 2) == ["a", None]


def test_old_report_fades_to_what_is_usual(placement: Placement) -> None:
    for _ in range(100):
        placement.record_load(link("usual", running=4))
    stale = link("a", running=0)
    assert placement.estimated_tasks(stale, NOW) == 0.0
    assert placement.estimated_tasks(stale, NOW + 10.0) == pytest.approx(4.0, abs=0.1)


def test_own_tasks_always_count(placement: Placement) -> None:
    target = link("a")
    hold(target, 3)
    assert placement.estimated_tasks(target, NOW + 10.0) >= 3.0

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


def take_targets(placement: Placement, links: list[Link], count: int) -> list[str | None]:
    plan = placement.plan(links, NOW, set())
    taken = [plan.next_target() for _ in range(count)]
    return [target.incarnation.host if target else None for target in taken]


def test_least_loaded_first(placement: Placement) -> None:
    links = [link("a", running=3), link("b"), link("c", running=1)]
    assert take_targets(placement, links, 2) == ["b", "b"] or take_targets(placement, links, 1) == [
        "b"
    ]


def test_half_of_local_slots_then_free_slots_anywhere(placement: Placement) -> None:
    links = [link("near", slots=4), link("far", "depot", slots=4)]
    taken = take_targets(placement, links, 8)
    assert taken[:2] == ["near", "near"]
    assert sorted(str(host) for host in taken[2:]) == ["far"] * 4 + ["near"] * 2


def test_local_slots_then_remote_slots_then_queues(placement: Placement) -> None:
    links = [link("near", slots=1), link("far", "depot", slots=1)]
    assert take_targets(placement, links, 7) == ["near", "far", "near", "near", "far", "far", None]


@pytest.mark.parametrize("state", ["suspect", "leaving"])
def test_unusable_target_gets_nothing(placement: Placement, state: str) -> None:
    only = link("a")
    setattr(only, state, True)
    assert take_targets(placement, [only], 1) == [None]


def test_unresponsive_target_gets_nothing(placement: Placement) -> None:
    only = link("a")
    only.asked_at = NOW - UNRESPONSIVE_SECONDS - 0.1
    assert take_targets(placement, [only], 1) == [None]


def test_closed_site_and_target_without_slots_get_nothing(placement: Placement) -> None:
    plan = placement.plan([link("a", "depot"), link("b", slots=0)], NOW, {"depot"})
    assert plan.next_target() is None


def test_no_task_is_placed_for_a_while_after_a_refusal(placement: Placement) -> None:
    only = link("a")
    only.full_until = NOW + FULL_SECONDS
    assert take_targets(placement, [only], 1) == [None]
    assert placement.plan([only], NOW + FULL_SECONDS, set()).next_target() is only


def test_target_that_seems_full_is_probed_with_one_task(placement: Placement) -> None:
    full = link("a", running=6)
    assert take_targets(placement, [full], 1) == [None]
    full.last_sent = NOW - PROBE_SECONDS
    assert take_targets(placement, [full], 2) == ["a", None]


def test_estimate_for_an_old_report_approaches_the_average_load(placement: Placement) -> None:
    for _ in range(100):
        placement.record_load(link("other", running=4))
    stale = link("a", running=0)
    assert placement.estimated_tasks(stale, NOW) == 0.0
    assert placement.estimated_tasks(stale, NOW + 10.0) == pytest.approx(4.0, abs=0.1)


def test_estimate_includes_own_tasks(placement: Placement) -> None:
    target = link("a")
    hold(target, 3)
    assert placement.estimated_tasks(target, NOW + 10.0) >= 3.0

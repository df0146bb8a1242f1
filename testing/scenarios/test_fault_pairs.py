"""Each fault alone, twice, and combined with each other one, under load."""

from collections.abc import Callable
from dataclasses import replace
from itertools import combinations_with_replacement

import pytest
from fleet import Fleet
from fleetparts import Shape
from paddleshunt_core.members import HostState

SITES = {"hall": 3, "depot": 3}
ANSWERED = {"complete", "failed", "not_run", "not_accepted", "unknown"}


def target_crash(fleet: Fleet) -> None:
    fleet.crash("hall-1")
    fleet.at(4.0, lambda: fleet.start("hall-1"))


def entry_crash(fleet: Fleet) -> None:
    fleet.crash("entry-1")
    fleet.at(2.0, lambda: fleet.start("entry-1"))


def stragglers(fleet: Fleet) -> None:
    fleet.shape = replace(fleet.shape, straggler_share=0.1, straggler_seconds=4.0)


def burst(fleet: Fleet) -> None:
    for number in range(20):
        fleet.submit(f"burst-{len(fleet.jobs)}-{number}", 6, deadline=8.0)


def store_down(fleet: Fleet) -> None:
    fleet.store.down = True
    fleet.at(6.0, fleet.store_up)


def lost_store_answer(fleet: Fleet) -> None:
    fleet.store.lose_answers += 1
    fleet.edit(fleet.rows)


def paused_holder(fleet: Fleet) -> None:
    fleet.pause("depot-0")
    fleet.at(5.0, lambda: fleet.resume("depot-0"))


def operators_race(fleet: Fleet) -> None:
    base = max(fleet.revisions().values())
    fleet.edit(fleet.rows, base)
    fleet.edit(fleet.rows, base)


def site_cut(fleet: Fleet) -> None:
    fleet.isolate_site("depot")
    fleet.at(4.0, fleet.heal)


def planned_stop(fleet: Fleet) -> None:
    if fleet.processes["hall-2"].alive:
        fleet.leave("hall-2")
        fleet.list_host("hall-2", HostState.LEAVING)


FAULTS: list[Callable[[Fleet], None]] = [
    target_crash,
    entry_crash,
    stragglers,
    burst,
    store_down,
    lost_store_answer,
    paused_holder,
    operators_race,
    site_cut,
    planned_stop,
]


def run_with(faults: list[Callable[[Fleet], None]]) -> Fleet:
    fleet = Fleet(Shape(SITES, max_running=9), seed=3)
    for number, fault in enumerate(faults):
        for job in range(4):
            fleet.submit(f"load-{number}-{job}", 8, deadline=12.0)
        fleet.run(0.15)
        fault(fleet)
        fleet.check_shares()
    fleet.run(20.0)
    return fleet


def check(fleet: Fleet) -> None:
    assert not fleet.checker.violations, fleet.checker.violations[0]
    # All jobs went through entry-0, which never crashes, so each has an answer.
    assert {job.outcome for job in fleet.jobs.values()} <= ANSWERED
    fleet.submit("after", 6)
    fleet.run(5.0)
    assert fleet.jobs["after"].outcome == "complete", fleet.jobs["after"].answers
    revisions = fleet.revisions()
    assert len(set(revisions.values())) == 1, revisions


@pytest.mark.parametrize("fault", FAULTS, ids=lambda fault: fault.__name__)
def test_fault_alone(fault: Callable[[Fleet], None]) -> None:
    check(run_with([fault]))


@pytest.mark.parametrize(
    "pair",
    list(combinations_with_replacement(FAULTS, 2)),
    ids=lambda pair: f"{pair[0].__name__}+{pair[1].__name__}",
)
def test_faults_in_pairs(pair: tuple[Callable[[Fleet], None], ...]) -> None:
    check(run_with(list(pair)))

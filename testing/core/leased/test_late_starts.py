"""Starts that a runner carries out late, without an answer: nobody may want them any more by then.

The runner here keeps no fencing token, so what it does late is held by leases and stops alone.
"""

import pytest
from leasedfleet import STEP, Fleet

GONE_SECONDS = 0.1
"""Seconds after a late start in which a target that reaches its runner has it stopped."""

LATE = [0.1, 0.3, 0.5]
"""Seconds; a start that comes after the lease it brings, 0.69 s, starts nothing at all."""


@pytest.fixture
def fleet() -> Fleet:
    """One entry and one target in session."""
    fleet = Fleet(entries=1, targets=1)
    fleet.settle()
    return fleet


def order_late(fleet: Fleet, late: float) -> int:
    """Have a job's three tasks ordered, to be carried out late; return its caller."""
    fleet.runners["t0"].late = late
    caller = fleet.submit("e0", "job", count=3, length=5.0, deadline=20.0)
    while len(fleet._late_orders) < 3:
        fleet.step()
    fleet.runners["t0"].late = None
    return caller


def longest(fleet: Fleet, seconds: float) -> float:
    """Let time pass, and return for how long a task was at work without a break."""
    runner = fleet.runners["t0"]
    steps = most = 0
    for _ in range(round(seconds / STEP)):
        fleet.step()
        steps = steps + 1 if runner.running else 0
        most = max(most, steps)
    return most * STEP


def started(fleet: Fleet) -> int:
    return sum(fleet.runners["t0"].starts.values())


@pytest.mark.parametrize("late", LATE)
def test_a_start_that_comes_late_after_its_caller_has_left_is_stopped(
    fleet: Fleet, late: float
) -> None:
    caller = order_late(fleet, late)
    fleet.runners["t0"].loses_stops = True
    fleet.leave("e0", caller)
    fleet.run(late)
    assert started(fleet) == 3
    fleet.runners["t0"].loses_stops = False
    assert longest(fleet, 2.0) <= GONE_SECONDS
    assert not fleet.runners["t0"].running


@pytest.mark.parametrize("late", LATE)
def test_a_stop_that_was_confirmed_keeps_the_late_start_from_beginning(
    fleet: Fleet, late: float
) -> None:
    caller = order_late(fleet, late)
    fleet.leave("e0", caller)
    assert longest(fleet, 2.0) == 0
    assert started(fleet) == 0


@pytest.mark.parametrize("late", LATE)
def test_without_any_stop_a_late_start_of_a_left_caller_ends_with_its_lease(
    fleet: Fleet, late: float
) -> None:
    """Other work goes on there, and renews the lease as far as that run allows."""
    fleet.submit("e0", "other", count=2, length=3.0, deadline=20.0)
    fleet.run(0.2)
    caller = order_late(fleet, late)
    fleet.runners["t0"].loses_stops = True
    fleet.leave("e0", caller)
    began = fleet.now
    while [run for run in fleet.runners["t0"].running if run.task.job == "job"] or (
        fleet.now < began + late + STEP
    ):
        fleet.step()
        assert fleet.now <= began + fleet.times.hold * 1.02 + 2 * STEP
    assert sum(n for task, n in fleet.runners["t0"].starts.items() if task.job == "job") == 3


@pytest.mark.parametrize(
    ("late", "met"), [(0.1, False), (0.3, True), (0.5, True)], ids=["before", "after", "long-after"]
)
def test_a_start_of_a_target_that_was_removed_is_stopped_by_the_next_one(
    fleet: Fleet, late: float, met: bool
) -> None:
    """Before or after the next one has met the runner, seen it empty, and is in session again."""
    caller = order_late(fleet, late)
    fleet.leave("e0", caller)
    fleet.kill("t0")
    fleet.start("t0")
    fleet.run(late - STEP)
    assert (fleet.workers["t0"].next_poll(fleet.now).wait > 0) is met
    assert started(fleet) == 0
    fleet.run(2 * STEP)
    assert started(fleet) == 3
    assert longest(fleet, 2.0) <= GONE_SECONDS
    assert not fleet.runners["t0"].running


@pytest.mark.parametrize("late", LATE)
def test_a_start_of_a_target_that_was_removed_for_good_ends_with_its_lease(
    fleet: Fleet, late: float
) -> None:
    order_late(fleet, late)
    fleet.kill("t0")
    fleet.run(late + STEP)
    assert started(fleet) == 3
    assert longest(fleet, 2.0) <= fleet.times.hold - late + 2 * STEP

"""Starts that a runner carries out late, when their job may be gone: leases and stops end them.

The runner here checks no fencing tokens, so these are the only means.
"""

import pytest
from leasedfleet import STEP, Fleet

MAX_STOP_SECONDS = 0.1
"""Maximum seconds after a late start until a target that reaches its runner has stopped it."""

DELAYS = [0.1, 0.3, 0.5]
"""Delays of starts in seconds, shorter than the lease of 0.69 s that a start carries."""


@pytest.fixture
def fleet() -> Fleet:
    """One entry and one target in session."""
    fleet = Fleet(entries=1, targets=1)
    fleet.settle()
    return fleet


def order_late(fleet: Fleet, late: float) -> int:
    """Submit a job of three tasks whose starts the runner carries out late; return its caller."""
    fleet.runners["t0"].late = late
    caller = fleet.submit("e0", "job", count=3, length=5.0, deadline=20.0)
    while len(fleet._late_orders) < 3:
        fleet.step()
    fleet.runners["t0"].late = None
    return caller


def longest_busy(fleet: Fleet, seconds: float) -> float:
    """Run the fleet and return the longest time in seconds during which tasks were running."""
    runner = fleet.runners["t0"]
    steps = most = 0
    for _ in range(round(seconds / STEP)):
        fleet.step()
        steps = steps + 1 if runner.running else 0
        most = max(most, steps)
    return most * STEP


def started(fleet: Fleet) -> int:
    return sum(fleet.runners["t0"].starts.values())


@pytest.mark.parametrize("late", DELAYS)
def test_a_late_start_after_its_caller_has_left_is_stopped(fleet: Fleet, late: float) -> None:
    caller = order_late(fleet, late)
    fleet.runners["t0"].loses_stops = True
    fleet.leave("e0", caller)
    fleet.run(late)
    assert started(fleet) == 3
    fleet.runners["t0"].loses_stops = False
    assert longest_busy(fleet, 2.0) <= MAX_STOP_SECONDS
    assert not fleet.runners["t0"].running


@pytest.mark.parametrize("late", DELAYS)
def test_a_confirmed_stop_prevents_the_late_start(fleet: Fleet, late: float) -> None:
    caller = order_late(fleet, late)
    fleet.leave("e0", caller)
    assert longest_busy(fleet, 2.0) == 0
    assert started(fleet) == 0


@pytest.mark.parametrize("late", DELAYS)
def test_a_late_start_that_is_not_stopped_ends_with_its_lease(fleet: Fleet, late: float) -> None:
    """Another job's tasks on the runner must not renew the lease of the late ones."""
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
    ("late", "polled"),
    [(0.1, False), (0.3, True), (0.5, True)],
    ids=["before", "after", "long-after"],
)
def test_a_late_start_of_a_removed_target_is_stopped_by_its_successor(
    fleet: Fleet, late: float, polled: bool
) -> None:
    """The start comes before or after the new target has polled the runner and seen it empty."""
    caller = order_late(fleet, late)
    fleet.leave("e0", caller)
    fleet.kill("t0")
    fleet.start("t0")
    fleet.run(late - STEP)
    assert (fleet.workers["t0"].next_poll(fleet.now).wait > 0) is polled
    assert started(fleet) == 0
    fleet.run(2 * STEP)
    assert started(fleet) == 3
    assert longest_busy(fleet, 2.0) <= MAX_STOP_SECONDS
    assert not fleet.runners["t0"].running


@pytest.mark.parametrize("late", DELAYS)
def test_a_late_start_of_a_target_without_successor_ends_with_its_lease(
    fleet: Fleet, late: float
) -> None:
    order_late(fleet, late)
    fleet.kill("t0")
    fleet.run(late + STEP)
    assert started(fleet) == 3
    assert longest_busy(fleet, 2.0) <= fleet.times.hold - late + 2 * STEP

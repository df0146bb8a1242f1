"""Tests that a late order to a restarted runner with the same id doesn't run a task twice.

The next incarnation may execute an unanswered order. So the target keeps the run until that
incarnation has answered a poll with a higher fencing token; a run not listed then never starts.
"""

from itertools import product
from random import Random

from leasedfleet import STEP, Fleet
from paddleshunt_core.leased.outcomes import GivenUp
from paddleshunt_core.leased.retries import SILENT_RUNNERS
from paddleshunt_core.leased.wire import TaskId

ORDER_DELAYS = [n * STEP for n in range(1, 12)]
"""Seconds from an order until it is executed."""

DOWNTIMES = [n * STEP for n in range(4)]
"""Seconds from a crash until the restart."""

STOP_DURATION = 0.05
"""Maximum seconds that the platform specifies for a stop."""


def restart_before_late_orders(
    order_delay: float, downtime: float, *, becomes_silent: bool = False
) -> str:
    """Let a runner restart before it executes an order; return a violation, if any."""
    fleet = Fleet(entries=1, targets=2)
    fleet.settle()
    runner = fleet.runners["t0"]
    runner.late = order_delay
    runner.stop_seconds = STOP_DURATION
    caller = fleet.submit("e0", "job", count=4, length=3.0 if becomes_silent else 0.5)
    while len(fleet._late_orders) < 2:
        fleet.step()
    runner.late = None
    runner.crash()
    try:
        fleet.run(downtime)
        runner.restart(same_id=True)
        while becomes_silent and not fleet.ends("runner_replaced"):
            fleet.step()
        runner.mute = becomes_silent
        fleet.run(4.0)
    except AssertionError as violation:
        return f"order delay {order_delay:.2f} s, downtime {downtime:.2f} s: {violation}"
    return "" if caller in fleet.answers else "no answer"


def test_late_order_to_the_previous_incarnation_starts_no_task_twice() -> None:
    violations = [
        restart_before_late_orders(delay, downtime)
        for delay, downtime in product(ORDER_DELAYS, DOWNTIMES)
    ]
    assert [violation for violation in violations if violation] == []


def test_late_order_starts_no_task_twice_if_the_next_incarnation_becomes_silent() -> None:
    """It may keep a run for the longest lease, as the order's lease was for another clock."""
    violations = [
        restart_before_late_orders(delay, downtime, becomes_silent=True)
        for delay, downtime in product(ORDER_DELAYS, DOWNTIMES)
    ]
    assert [violation for violation in violations if violation] == []


def test_late_order_for_a_lost_run_is_refused_once_the_next_incarnation_is_polled() -> None:
    """Its task runs elsewhere by then; an order before any poll can't be recognised as late."""
    fleet = Fleet(entries=1, targets=2)
    fleet.settle()
    runner = fleet.runners["t0"]
    runner.late = 10.0
    fleet.submit("e0", "job", count=4, length=3.0)
    while len(fleet._late_orders) < 2:
        fleet.step()
    runner.crash()
    while not fleet.ends("run_lapsed"):
        fleet.step()
    fleet.run(0.1)
    runner.restart(same_id=True)
    fleet._beats["t0"] = fleet.now + 0.3
    fleet._late_orders = [(fleet.now + 2 * STEP, *order[1:]) for order in fleet._late_orders]
    fleet.run(1.0)
    assert not fleet._late_orders
    assert not runner.starts


class SameId(Random):
    """Draws the same id for each incarnation."""

    def random(self) -> float:
        return 0.0


def test_each_crash_under_one_id_counts_as_a_lost_runner() -> None:
    """Counted by id alone, a task could crash the same runner any number of times."""
    fleet = Fleet(entries=1, targets=1)
    fleet.lives = SameId(1)
    fleet.settle()
    caller = fleet.submit_crashing("e0", "bad", count=1, deadline=20.0)
    fleet.run(18.0)
    assert fleet.answers[caller] == GivenUp(SILENT_RUNNERS)
    assert fleet.crashes.crashed[TaskId("bad", 0, 0)] == 2
    assert fleet.runners["t0"].id_number == 1

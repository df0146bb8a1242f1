"""A runner starts again under its id while an order to start is on its way to the life before.

Seen: in the core's fleet a task was at work at two runners at once, for up to 50 ms.

How it came about: an order that had no answer yet when its runner crashed was carried out by the
next life, as both bear one id. The target met that life, told all runs of the last one as lost, and
the entry placed the task elsewhere at once, while the stop of the first run took its time.

Proof: `Fleet.check`, which asks the runners after each step: eight of 44 ways to meet broke it.

Cause: no answer tells an order's life from the next one. So its runs stay the target's until the
next life has answered a call of a higher token: what it doesn't list by then it will never start.
"""

from itertools import product
from random import Random

from leasedfleet import STEP, Fleet
from paddleshunt_core.leased.outcomes import GivenUp
from paddleshunt_core.leased.retries import SILENT_RUNNERS
from paddleshunt_core.leased.wire import TaskId

LATE = [n * STEP for n in range(1, 12)]
"""Seconds from an order until it is carried out."""

AWAY = [n * STEP for n in range(4)]
"""Seconds from a crash until the runner is back."""

STOP_SECONDS = 0.05
"""Seconds that a stop takes at most, by the platform's word."""


def play(late: float, away: float, *, falls_silent: bool = False) -> str:
    """Let a runner crash and come back before an order is carried out; return what was broken."""
    fleet = Fleet(entries=1, targets=2)
    fleet.settle()
    runner = fleet.runners["t0"]
    runner.late = late
    runner.stop_seconds = STOP_SECONDS
    caller = fleet.submit("e0", "job", count=4, length=3.0 if falls_silent else 0.5)
    while len(fleet._late_orders) < 2:
        fleet.step()
    runner.late = None
    runner.crash()
    try:
        fleet.run(away)
        runner.restart(same_id=True)
        while falls_silent and not fleet.ends("runner_replaced"):
            fleet.step()
        runner.mute = falls_silent
        fleet.run(4.0)
    except AssertionError as broken:
        return f"late {late:.2f} away {away:.2f}: {broken}"
    return "" if caller in fleet.answers else "no answer"


def test_an_order_for_the_life_before_starts_no_task_twice() -> None:
    broken = [play(late, away) for late, away in product(LATE, AWAY)]
    assert [each for each in broken if each] == []


def test_nor_does_it_if_the_next_life_falls_silent_once_it_was_met() -> None:
    """What it was ordered by the last life's clock it may keep for the longest lease there is."""
    broken = [play(late, away, falls_silent=True) for late, away in product(LATE, AWAY)]
    assert [each for each in broken if each] == []


def test_what_was_given_up_is_refused_from_the_first_call_that_reaches_the_next_life() -> None:
    """Its task is at work elsewhere by then; an order that comes before any call can't be told."""
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


class AlwaysTheSame(Random):
    """Draws the old id for each life."""

    def random(self) -> float:
        return 0.0


def test_each_crash_of_one_id_counts_as_a_lost_runner() -> None:
    """By the id alone, a task could take the same runner down for as long as it is asked for."""
    fleet = Fleet(entries=1, targets=1)
    fleet.lives = AlwaysTheSame(1)
    fleet.settle()
    caller = fleet.submit_crashing("e0", "bad", count=1, deadline=20.0)
    fleet.run(18.0)
    assert fleet.answers[caller] == GivenUp(SILENT_RUNNERS)
    assert fleet.crashes.crashed[TaskId("bad", 0, 0)] == 2
    assert fleet.runners["t0"].id_number == 1

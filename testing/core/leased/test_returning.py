"""A runner starts again under its id while an order to start is on its way to the life before.

Seen: in the core's fleet a task was at work at two runners at once, for up to 50 ms.

How it came about: an order that had no answer yet when its runner crashed was carried out by the
next life, as both bear one id. The target met that life, told all runs of the last one as lost, and
the entry placed the task elsewhere at once, while the stop of the first run took its time.

Proof: `Fleet.check`, which asks the runners after each step: eight of 44 ways to meet broke it.
"""

from itertools import product

from leasedfleet import STEP, Fleet

LATE = [n * STEP for n in range(1, 12)]
"""Seconds from an order until it is carried out."""

AWAY = [n * STEP for n in range(4)]
"""Seconds from a crash until the runner is back."""

STOP_SECONDS = 0.05
"""Seconds that a stop takes at most, by the platform's word."""


def play(late: float, away: float) -> str:
    """Let a runner crash and come back before an order is carried out; return what was broken."""
    fleet = Fleet(entries=1, targets=2)
    fleet.settle()
    runner = fleet.runners["t0"]
    runner.late = late
    runner.stop_seconds = STOP_SECONDS
    caller = fleet.submit("e0", "job", count=4, length=0.5)
    while len(fleet._late_orders) < 2:
        fleet.step()
    runner.late = None
    runner.crash()
    try:
        fleet.run(away)
        runner.restart(same_id=True)
        fleet.run(3.0)
    except AssertionError as broken:
        return f"late {late:.2f} away {away:.2f}: {broken}"
    return "" if caller in fleet.answers else "no answer"


def test_an_order_for_the_life_before_starts_no_task_twice() -> None:
    broken = [play(late, away) for late, away in product(LATE, AWAY)]
    assert [each for each in broken if each] == []

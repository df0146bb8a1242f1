"""What a run's progress says: that it goes on, is stuck, or would end sooner elsewhere."""

from paddleshunt_core.leased.health import RunnerHealth
from paddleshunt_core.leased.runtable import Run

STUCK_SECONDS = 0.35
"""Seconds without progress after which a run is stopped, to run elsewhere."""

STUCK_LEAST = 0.15
"""The same for a run whose whole estimate is less."""

STUCK_LOOKS = 2
"""Looks in a row that must have shown no progress."""

HUNG_SECONDS = 0.12
"""Seconds without progress of any run after which a runner counts as hung: two looks and a half."""

HUNG_SHARE = 0.03
"""The same as a share of a run's estimate; a runner tells progress in steps of a hundredth."""

HUNG_RUNS = 2
"""Runs that must all stand still; one alone may be its task's own fault."""

SLOW_RESTART = 1.2
"""A run on a slow runner is stopped if what is left takes so many times its estimate."""


def note_progress(now: float, shown: float, run: Run, percent: int, health: RunnerHealth) -> None:
    """Take a look's word that `percent` of a run is done, also as evidence on the runner.

    A look that is read late shows the moment `shown`: what passed since is not its runner's time.
    """
    seconds = max(0.0, shown - run.seen)
    if percent > run.percent:
        work = run.estimate * (percent - run.percent) / 100
        health.progressed(now, work, seconds)
        run.percent = percent
        run.moved = now
        run.still = 0
    elif shown > run.seen:
        health.progressed(now, 0.0, seconds)
        run.still += 1
    run.seen = max(run.seen, shown)


def is_stuck(now: float, run: Run, patience: float = 1.0) -> bool:
    """Whether a run has made no progress for so long that it is to run elsewhere.

    `patience` is how many times as long as usual its runner may take, as it is cold.
    """
    return _has_stood(now, run, patience * min(STUCK_SECONDS, max(STUCK_LEAST, run.estimate)))


def stands_still(now: float, run: Run, patience: float = 1.0) -> bool:
    """Whether a run has made no progress lately: if no run has, their runner hangs."""
    return _has_stood(now, run, patience * max(HUNG_SECONDS, HUNG_SHARE * run.estimate))


def is_better_elsewhere(run: Run, speed: float) -> bool:
    """Whether a run takes longer yet, at this `speed` of its runner, than a new start elsewhere."""
    return (100 - run.percent) / 100 > SLOW_RESTART * speed


def _has_stood(now: float, run: Run, patience: float) -> bool:
    """Whether several looks in a row, over more than `patience` seconds, showed no progress."""
    return run.still >= STUCK_LOOKS and now > run.moved + patience

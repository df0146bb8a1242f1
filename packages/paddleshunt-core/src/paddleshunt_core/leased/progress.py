"""What a run's progress says: that it goes on, is stuck, or would end sooner elsewhere."""

from paddleshunt_core.leased.health import RunnerHealth
from paddleshunt_core.leased.runtable import Run

STUCK_SECONDS = 0.35
"""Seconds without progress after which a run is stopped, to run elsewhere."""

MIN_STUCK_SECONDS = 0.15
"""The same for a run whose whole estimate is less."""

STUCK_POLLS = 2
"""Looks in a row that must have shown no progress."""

HUNG_SECONDS = 0.12
"""Seconds without progress of any run after which a runner counts as hung: two looks and a half."""

HUNG_SHARE = 0.03
"""The same as a share of a run's estimate; a runner tells progress in steps of a hundredth."""

HUNG_RUNS = 2
"""Runs that must all stand still; one alone may be its task's own fault."""

RESTART_FACTOR = 1.2
"""A run on a slow runner is stopped if what is left takes so many times its estimate."""


def note_progress(now: float, shown: float, run: Run, percent: int, health: RunnerHealth) -> None:
    """Take a look's word that `percent` of a run is done, also as evidence on the runner.

    A look that is read late shows the moment `shown`: what passed since is not its runner's time.
    """
    if percent > run.percent:
        _note_work(now, shown, run, percent, 0.0, health)
        run.percent = percent
        run.progressed_at = now
        run.stalled_polls = 0
    elif shown > run.observed_at:
        # A runner tells whole hundredths: what it may have done of the next one is no stand-still.
        unreported_work = max(
            run.unreported_work, min(shown - run.progressed_at, run.estimate / 100)
        )
        _note_work(now, shown, run, run.percent, ahead, health)
        run.stalled_polls += 1
    run.observed_at = max(run.observed_at, shown)


def note_done(now: float, shown: float, run: Run, health: RunnerHealth) -> None:
    """Take a look's word that a run has ended well, as evidence on the runner."""
    _note_work(now, shown, run, 100, 0.0, health)


def _note_work(
    now: float, shown: float, run: Run, percent: int, ahead: float, health: RunnerHealth
) -> None:
    """Count what a run has done since the last look, with what is `ahead` of its percent."""
    work = run.estimate * (percent - run.percent) / 100 + unreported_work - run.unreported_work
    run.unreported_work = unreported_work
    health.progressed(now, work, max(0.0, shown - run.observed_at))


def is_stuck(now: float, run: Run, patience: float = 1.0) -> bool:
    """Whether a run has made no progress for so long that it is to run elsewhere.

    `patience` is how many times as long as usual its runner may take, as it is cold.
    """
    return _has_stood(now, run, patience * min(STUCK_SECONDS, max(MIN_STUCK_SECONDS, run.estimate)))


def is_stalled(now: float, run: Run, patience: float = 1.0) -> bool:
    """Whether a run has made no progress lately: if no run has, their runner hangs."""
    return _has_stood(now, run, patience * max(HUNG_SECONDS, HUNG_SHARE * run.estimate))


def is_faster_elsewhere(run: Run, speed: float) -> bool:
    """Whether a run takes longer yet, at this `speed` of its runner, than a new start elsewhere."""
    return (100 - run.percent) / 100 > RESTART_FACTOR * speed


def _has_stood(now: float, run: Run, patience: float) -> bool:
    """Whether several looks in a row, over more than `patience` seconds, showed no progress."""
    return run.stalled_polls >= STUCK_POLLS and now > run.progressed_at + patience

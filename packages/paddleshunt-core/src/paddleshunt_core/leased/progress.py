"""Evaluates a run's progress: whether it is stuck, or would end sooner on another runner."""

from paddleshunt_core.leased.health import RunnerHealth
from paddleshunt_core.leased.runtable import Run

STUCK_SECONDS = 0.35
"""Seconds without progress after which a run is stopped, to be retried elsewhere."""

MIN_STUCK_SECONDS = 0.15
"""Lower bound of that time for runs whose estimate is shorter than `STUCK_SECONDS`."""

STUCK_POLLS = 2
"""Consecutive polls without progress before a run counts as stuck."""

HUNG_SECONDS = 0.12
"""Seconds for which all runs must lack progress before a runner counts as hung."""

HUNG_SHARE = 0.03
"""Lower bound of that time as a share of a run's estimate, as percents are whole."""

MIN_HUNG_RUNS = 2
"""Minimum number of stalled runs of a hung runner; a single task may stall by itself."""

RESTART_FACTOR = 1.2
"""A run on a slow runner is stopped if the rest takes more than this multiple of its estimate."""


def record_progress(
    now: float, observed_at: float, run: Run, percent: int, health: RunnerHealth
) -> None:
    """Record that a poll showed `percent` of a run done, and its effect on the runner's health.

    The percent is that of the moment `observed_at`, which is before `now` if the poll's answer was
    read late; the time in between is not counted against the runner.
    """
    if percent > run.percent:
        _record_work(now, observed_at, run, percent, 0.0, health)
        run.percent = percent
        run.progressed_at = now
        run.stalled_polls = 0
    elif observed_at > run.observed_at:
        # Progress comes in whole percents: part of the next one may be done without showing.
        unreported_work = max(
            run.unreported_work, min(observed_at - run.progressed_at, run.estimate / 100)
        )
        _record_work(now, observed_at, run, run.percent, unreported_work, health)
        run.stalled_polls += 1
    run.observed_at = max(run.observed_at, observed_at)


def record_done(now: float, observed_at: float, run: Run, health: RunnerHealth) -> None:
    """Record that a poll showed a run as done, and its effect on the runner's health."""
    _record_work(now, observed_at, run, 100, 0.0, health)


def _record_work(
    now: float,
    observed_at: float,
    run: Run,
    percent: int,
    unreported_work: float,
    health: RunnerHealth,
) -> None:
    """Count the work done since the last poll, `unreported_work` beyond the percent included."""
    work = run.estimate * (percent - run.percent) / 100 + unreported_work - run.unreported_work
    run.unreported_work = unreported_work
    health.progressed(now, work, max(0.0, observed_at - run.observed_at))


def is_stuck(now: float, run: Run, overrun_factor: float = 1.0) -> bool:
    """Whether a run has made no progress for so long that it is to be retried elsewhere.

    `overrun_factor` multiplies the limit while the runner is cold.
    """
    return _no_progress(
        now, run, overrun_factor * min(STUCK_SECONDS, max(MIN_STUCK_SECONDS, run.estimate))
    )


def is_stalled(now: float, run: Run, overrun_factor: float = 1.0) -> bool:
    """Whether a run has made no recent progress; a runner hangs if this holds for all its runs."""
    return _no_progress(now, run, overrun_factor * max(HUNG_SECONDS, HUNG_SHARE * run.estimate))


def is_faster_elsewhere(run: Run, speed: float) -> bool:
    """Whether the rest of a run takes longer at its runner's `speed` than a restart elsewhere."""
    return (100 - run.percent) / 100 > RESTART_FACTOR * speed


def _no_progress(now: float, run: Run, seconds: float) -> bool:
    """Whether several consecutive polls, over more than `seconds`, showed no progress."""
    return run.stalled_polls >= STUCK_POLLS and now > run.progressed_at + seconds

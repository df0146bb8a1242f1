"""A runner's health as its target estimates it from failures, stuck runs and speed."""

from collections import deque
from typing import final

from paddleshunt_core.leased.wire import Health

RECENT_ENDS = 8
"""Number of latest ends of runs that count for a runner's health."""

SICK_FAILURES = 3
"""Failed runs among `RECENT_ENDS` with which a runner counts as sick."""

SICK_SECONDS = 2.0
"""Seconds for which a sick runner gets no task, before it is on probation with one task."""

SICK_SPEED = 0.35
"""Speed relative to the estimates below which a runner counts as sick."""

SPEED_WINDOW_SECONDS = 0.8
"""Seconds over which speed is measured."""

MIN_SPEED_RUN_SECONDS = 0.25
"""Run-seconds in the window below which the speed is unknown."""


@final
class RunnerHealth:
    """Health of one incarnation of a runner."""

    def __init__(self, cold_overrun: float = 1.0) -> None:
        self._cold_overrun = cold_overrun
        self._cold_until = float("-inf")
        self._failed: deque[bool] = deque(maxlen=RECENT_ENDS)
        self._sick_until = 0.0
        self._passed_probation = True
        self._progress: deque[tuple[float, float, float]] = deque()
        """Samples: their time, the seconds of work done, and the seconds that it took."""

    def level(self, now: float) -> Health:
        """Return the runner's health."""
        if now < self._sick_until:
            return Health.SICK
        return Health.GOOD if self._passed_probation else Health.PROBATION

    def set_cold_remaining(self, now: float, cold: float) -> None:
        """Record that the runner stays slow for another `cold` seconds; 0 if it is warm."""
        self._cold_until = now + cold if cold else min(self._cold_until, now)

    def overrun_factor(self, started: float) -> float:
        """Return how many times its estimate a run begun at `started` may take."""
        return self._cold_overrun if started < self._cold_until else 1.0

    def is_slow(self, now: float) -> bool:
        """Whether the runner has recently been slower than a cold one may be."""
        return self.speed(now) < SICK_SPEED / self.overrun_factor(now - SPEED_WINDOW_SECONDS)

    def done(self, now: float, speed: float, began: float | None = None) -> None:
        """Record a successful run, its `speed` relative to the estimate, and when it `began`."""
        self._failed.append(False)
        if not self._passed_probation and speed < SICK_SPEED / self.overrun_factor(
            now if began is None else began
        ):
            self.mark_sick(now)
            return
        self._passed_probation = True

    def failed(self, now: float) -> None:
        """Record a failed run, whether the runner or the task caused the failure."""
        self._failed.append(True)
        if not self._passed_probation or sum(self._failed) >= SICK_FAILURES:
            self.mark_sick(now)

    def mark_sick(self, now: float) -> None:
        """Mark the runner as sick for `SICK_SECONDS`, then as on probation."""
        self._sick_until = now + SICK_SECONDS
        self._passed_probation = False
        self._progress.clear()
        self._failed.clear()

    def progressed(self, now: float, work: float, seconds: float) -> None:
        """Record that a run did `work` seconds of its estimate within `seconds`."""
        self._progress.append((now, work, seconds))

    def speed(self, now: float) -> float:
        """Return the seconds of estimated work done per second of running; 1.0 if unknown."""
        while self._progress and self._progress[0][0] < now - SPEED_WINDOW_SECONDS:
            self._progress.popleft()
        seconds = sum(sample[2] for sample in self._progress)
        if seconds < MIN_SPEED_RUN_SECONDS:
            return 1.0
        return sum(sample[1] for sample in self._progress) / seconds

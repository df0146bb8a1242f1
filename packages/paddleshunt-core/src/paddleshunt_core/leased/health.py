"""How far a target trusts its runner: recent failures, runs that stand still, and speed."""

from collections import deque
from typing import final

from paddleshunt_core.leased.wire import Health

RECENT_ENDS = 8
"""Ends of runs that are remembered."""

FAILURES = 3
"""Failed runs among the remembered ones with which a runner counts as sick."""

SICK_SECONDS = 2.0
"""Seconds for which a sick runner is given nothing, before it may prove itself with one task."""

SICK_SPEED = 0.35
"""Speed, against the estimates, below which a runner counts as sick."""

SPEED_WINDOW = 0.8
"""Seconds over which speed is measured."""

LEAST_EVIDENCE = 0.25
"""Run-seconds in the window below which no speed is told."""


@final
class RunnerHealth:
    """Evidence about one life of a runner."""

    def __init__(self, cold_overrun: float = 1.0) -> None:
        self._cold_overrun = cold_overrun
        self._cold_until = float("-inf")
        self._failed: deque[bool] = deque(maxlen=RECENT_ENDS)
        self._sick_until = 0.0
        self._proved = True
        self._progress: deque[tuple[float, float, float]] = deque()

    def level(self, now: float) -> Health:
        """Return how far the runner is trusted."""
        if now < self._sick_until:
            return Health.SICK
        return Health.GOOD if self._proved else Health.PROBATION

    def set_cold_remaining(self, now: float, cold: float) -> None:
        """Note that the runner stays slow for `cold` seconds yet after its start; 0: it is warm."""
        self._cold_until = now + cold if cold else min(self._cold_until, now)

    def overrun_factor(self, then: float) -> float:
        """Return how many times as long as of a warm runner work may take that began `then`."""
        return self._cold_overrun if then < self._cold_until else 1.0

    def is_slow(self, now: float) -> bool:
        """Whether the runner has been slow lately, beyond what a cold one is."""
        return self.speed(now) < SICK_SPEED / self.overrun_factor(now - SPEED_WINDOW)

    def done(self, now: float, speed: float, began: float | None = None) -> None:
        """Note a run that ended well, at `speed` against its estimate; it `began` then."""
        self._failed.append(False)
        if not self._proved and speed < SICK_SPEED / self.overrun_factor(
            now if began is None else began
        ):
            self.mark_sick(now)
            return
        self._proved = True

    def failed(self, now: float) -> None:
        """Note a run that failed; it may have been the task's own fault."""
        self._failed.append(True)
        if not self._proved or sum(self._failed) >= FAILURES:
            self.mark_sick(now)

    def mark_sick(self, now: float) -> None:
        """Trust the runner with nothing for a while, then with one task."""
        self._sick_until = now + SICK_SECONDS
        self._proved = False
        self._progress.clear()
        self._failed.clear()

    def progressed(self, now: float, work: float, seconds: float) -> None:
        """Note that a run did `work` seconds of its estimate within `seconds`."""
        self._progress.append((now, work, seconds))

    def speed(self, now: float) -> float:
        """Return work done a second of running, against the estimates; 1.0 if unknown."""
        while self._progress and self._progress[0][0] < now - SPEED_WINDOW:
            self._progress.popleft()
        seconds = sum(entry[2] for entry in self._progress)
        if seconds < LEAST_EVIDENCE:
            return 1.0
        return sum(entry[1] for entry in self._progress) / seconds

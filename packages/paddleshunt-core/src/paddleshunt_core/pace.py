"""The pace at which a home's tasks end, while it has tasks waiting."""

from collections import deque
from typing import final

PACE_WINDOW = 2.0
"""Seconds over which the pace is measured."""

LEAST_WINDOW = 0.5
"""Seconds of waiting before there is a pace at all."""


@final
class Pace:
    """Counts ends of tasks in a sliding window that starts when tasks begin to wait."""

    def __init__(self) -> None:
        self._ends: deque[float] = deque()
        self._waiting_since: float | None = None

    def waiting(self, now: float, *, any_task: bool) -> None:
        """Note whether tasks wait; without any, the pace says nothing of what could be had."""
        if not any_task:
            self._waiting_since = None
        elif self._waiting_since is None:
            self._waiting_since = now

    def ended(self, now: float) -> None:
        """Note the end of a task."""
        self._ends.append(now)

    def rate(self, now: float) -> float | None:
        """Return tasks a second, or None if tasks haven't waited for long enough to tell."""
        while self._ends and self._ends[0] < now - PACE_WINDOW:
            self._ends.popleft()
        if self._waiting_since is None:
            return None
        span = min(PACE_WINDOW, now - self._waiting_since)
        if span < LEAST_WINDOW:
            return None
        ended = sum(end >= now - span for end in self._ends)
        return max(1, ended) / span

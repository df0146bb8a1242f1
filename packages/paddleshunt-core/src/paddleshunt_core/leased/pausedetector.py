"""Detection of pauses of this process, after which its input and state may be out of date."""

from typing import final

RESUME_GRACE_SECONDS = 0.1
"""Seconds after a pause in which new requests are refused, as they may be old."""


@final
class PauseDetector:
    """Watches the time between calls; more than `max_gap` seconds count as a pause."""

    def __init__(self, max_gap: float) -> None:
        self._max_gap = max_gap
        self._last_call: float | None = None
        self._resumed = float("-inf")

    def observe(self, now: float) -> float:
        """Record that the process runs; return the length of the pause before, 0.0 if none."""
        previous = self._last_call
        self._last_call = now
        if previous is None or now - previous <= self._max_gap:
            return 0.0
        self._resumed = now
        return now - previous

    def recently_resumed(self, now: float) -> bool:
        """Whether a pause ended so recently that input read now may be old."""
        return now < self._resumed + RESUME_GRACE_SECONDS

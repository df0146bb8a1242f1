"""Notices that this process stood still: what it read or held meanwhile may be out of date."""

from typing import final

RESUME_GRACE_SECONDS = 0.1
"""Seconds after a stand-still in which new requests are refused: they may be old."""


@final
class PauseDetector:
    """Watches the time between calls; `longest` seconds are no stand-still yet."""

    def __init__(self, longest: float) -> None:
        self._longest = longest
        self._moved: float | None = None
        self._thawed = float("-inf")

    def observe(self, now: float) -> float:
        """Note that the process runs; return how long it stood still before, 0 if it did not."""
        before = self._moved
        self._moved = now
        if before is None or now - before <= self._longest:
            return 0.0
        self._thawed = now
        return now - before

    def recently_resumed(self, now: float) -> bool:
        """Whether a stand-still ended so lately that what is read now may be old."""
        return now < self._thawed + RESUME_GRACE_SECONDS

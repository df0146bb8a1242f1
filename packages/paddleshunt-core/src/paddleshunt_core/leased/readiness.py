"""Decides when an entry that has lost all its targets reports itself as not ready.

New callers are then sent to entries that have targets. If no entry is known to have any, all stay
ready, so that callers are served as soon as targets connect.
"""

from typing import final

UNREADY_AFTER_SECONDS = 0.8
"""Seconds without a target until the entry is not ready; longer than a target's reconnect."""

READY_AFTER_SECONDS = 1.0
"""Seconds with targets until the entry is ready again, so that readiness does not flap."""

PEER_COUNT_SECONDS = 10.0
"""Seconds for which the target count that another entry reported is valid."""


@final
class Readiness:
    """The readiness of one entry, by its number of targets and those of the other entries."""

    def __init__(self) -> None:
        self._had_targets = False
        """Whether it has ever had a target; an entry that is starting has not lost any."""
        self._lost_at: float | None = None
        """Since when it has no targets; None if it has some."""
        self._regained_at = float("-inf")
        """Since when it has targets again after a loss."""
        self._peer_counts: dict[str, tuple[int, float]] = {}
        """The number of targets that each other entry reported, and when."""

    def record_own_count(self, now: float, targets: int) -> None:
        """Record how many targets have a session with this entry."""
        if not targets:
            if self._lost_at is None and self._had_targets:
                # If the targets left before the entry was ready again, the earlier loss continues.
                stayed = now >= self._regained_at + READY_AFTER_SECONDS
                self._lost_at = now if stayed else float("-inf")
            return
        if self._lost_at is not None:
            # A loss that was too short to make the entry unready needs no recovery time.
            self._regained_at = (
                now if now > self._lost_at + UNREADY_AFTER_SECONDS else self._regained_at
            )
            self._lost_at = None
        self._had_targets = True

    def record_peer_count(self, now: float, entry: str, targets: int) -> None:
        """Record how many targets another entry reported."""
        self._peer_counts[entry] = (targets, now)

    def should_be_unready(self, now: float) -> bool:
        """Whether this entry lacks targets and another one is known to have some."""
        lost = self._lost_at is not None and now > self._lost_at + UNREADY_AFTER_SECONDS
        if not lost and now >= self._regained_at + READY_AFTER_SECONDS:
            return False
        counts = self._peer_counts.values()
        return any(targets and now < at + PEER_COUNT_SECONDS for targets, at in counts)

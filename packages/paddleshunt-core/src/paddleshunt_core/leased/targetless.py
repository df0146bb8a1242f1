"""Whether an entry that has lost all its targets had better get no new callers.

It can end no job meanwhile, while entries that have targets can. If no entry is known to have any,
each stays ready: callers are served as soon as one has.
"""

from typing import final

UNREADY_AFTER_SECONDS = 0.8
"""Seconds without any target after which callers are sent elsewhere: targets dial anew in 0.25."""

READY_AFTER_SECONDS = 1.0
"""Seconds with targets after which callers may come again: where a link is pressed, sessions open
and end."""

PEER_COUNT_SECONDS = 10.0
"""Seconds for which another entry's word that it has targets holds: it may come late as well."""


@final
class Targetless:
    """What one entry knows of its own targets and of the others'."""

    def __init__(self) -> None:
        self._had = False
        """Whether it has had a target; one that is starting has not lost any."""
        self._gone: float | None = None
        """Since when it has none; None if it has some."""
        self._back = float("-inf")
        """Since when it has some again."""
        self._others: dict[str, tuple[int, float]] = {}
        """By entry, how many targets it said it has, and when."""

    def record_own_count(self, now: float, targets: int) -> None:
        """Note how many targets are in session."""
        if not targets:
            if self._gone is None and self._had:
                # Targets that did not stay were none.
                stayed = now >= self._back + READY_AFTER_SECONDS
                self._gone = now if stayed else float("-inf")
            return
        if self._gone is not None:
            # A short loss is as good as none.
            self._back = now if now > self._gone + UNREADY_AFTER_SECONDS else self._back
            self._gone = None
        self._had = True

    def record_peer_count(self, now: float, entry: str, targets: int) -> None:
        """Take another entry's word on how many targets it has."""
        self._others[entry] = (targets, now)

    def should_be_unready(self, now: float) -> bool:
        """Whether callers had better go to another entry, and there is one with targets."""
        gone = self._gone is not None and now > self._gone + UNREADY_AFTER_SECONDS
        if not gone and now >= self._back + READY_AFTER_SECONDS:
            return False
        said = self._others.values()
        return any(targets and now < at + PEER_COUNT_SECONDS for targets, at in said)

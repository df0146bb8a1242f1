"""Decides which entry a target offers its free resources to while they are contended.

If all entries saw the same free resources they would race for them: assignments would be refused,
and a less urgent task could win. So entries send what their most urgent waiting task needs, and a
target that has too little for all of them reports its free resources to one entry at a time: the
one with the most urgent task that fits.
"""

from dataclasses import dataclass
from typing import final

from paddleshunt_core.leased.resources import NO_RESOURCES, Resources

OFFER_SECONDS = 0.012
"""Seconds for which an offer is valid: time for the report, the assignment and some delay."""


@final
@dataclass(frozen=True, slots=True)
class _Request:
    """An entry's request for `need`, to start by the monotonic time `urgent_at`."""

    need: Resources
    urgent_at: float


@final
class Offers:
    """The requests of entries at one target, and the current offer."""

    def __init__(self) -> None:
        self._requests: dict[str, _Request] = {}
        self._offered: str | None = None
        self._offered_at = 0.0

    def request(self, entry: str, need: Resources, urgent_at: float) -> None:
        """Record an entry's request, which replaces its previous one."""
        self._requests[entry] = _Request(need, urgent_at)

    def drop(self, entry: str) -> None:
        """Delete an entry's request after its offer was used or its session ended."""
        self._requests.pop(entry, None)
        if self._offered == entry:
            self._offered = None

    def is_contended(self, free: Resources) -> bool:
        """Whether several entries wait and `free` is not enough for a task of each."""
        total_need = NO_RESOURCES
        for each in self._requests.values():
            total_need += each.need
        return len(self._requests) > 1 and not total_need.fits(free)

    def offered_to(self, now: float, free: Resources) -> str | None:
        """Return the entry that `free` is offered to; None if no waiting task fits it.

        The current offer is replaced if it has expired or its task does not fit.
        """
        if self._offered is not None and now >= self._offered_at + OFFER_SECONDS:
            self.drop(self._offered)
        if self._offered is None or not self._fits(self._offered, free):
            self._offer(now, free)
        return self._offered

    def expires_at(self) -> float | None:
        """Return when the current offer expires; None without one."""
        return None if self._offered is None else self._offered_at + OFFER_SECONDS

    def _fits(self, entry: str, free: Resources) -> bool:
        return self._requests[entry].need.fits(free)

    def _offer(self, now: float, free: Resources) -> None:
        fitting = [entry for entry in self._requests if self._fits(entry, free)]
        self._offered = min(fitting, key=lambda e: self._requests[e].urgent_at, default=None)
        self._offered_at = now

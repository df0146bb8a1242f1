"""Which entry a target offers its room to while room is scarce.

Entries tell what their most urgent waiting task needs. While all of them see the same room, they
race for it: tasks bounce, and a less urgent one may win. So a target that is nearly full, or has
not enough for all that wait, shows its room to one entry at a time, the one with the most urgent
task that fits.
"""

from dataclasses import dataclass
from typing import final

from paddleshunt_core.leased.resources import NOTHING, Resources

OFFER_SECONDS = 0.012
"""Seconds for which room is kept for one entry: two messages there and back, and some delay."""


@final
@dataclass(frozen=True, slots=True)
class _Wanted:
    """What an entry wants: room for `need`, at steady time `urgent_at` at the latest."""

    need: Resources
    urgent_at: float


@final
class Offers:
    """What entries want from one target, and whom its room is offered to."""

    def __init__(self) -> None:
        self._wanted: dict[str, _Wanted] = {}
        self._offered: str | None = None
        self._since = 0.0

    def request(self, entry: str, need: Resources, urgent_at: float) -> None:
        """Note what an entry wants; it replaces what it wanted before."""
        self._wanted[entry] = _Wanted(need, urgent_at)

    def drop(self, entry: str) -> None:
        """Forget what an entry wanted: it has had its turn, or its session is over."""
        self._wanted.pop(entry, None)
        if self._offered == entry:
            self._offered = None

    def is_contended(self, free: Resources) -> bool:
        """Whether several entries wait, and `free` room is not enough for a task of each."""
        wanted = NOTHING
        for each in self._wanted.values():
            wanted += each.need
        return len(self._wanted) > 1 and not wanted.fits(free)

    def offered_to(self, now: float, free: Resources) -> str | None:
        """Return the entry that `free` room is for; None if nobody waits for so much."""
        if self._offered is not None and now >= self._since + OFFER_SECONDS:
            self.drop(self._offered)
        if self._offered is None or not self._fits(self._offered, free):
            self._offer(now, free)
        return self._offered

    def expires_at(self) -> float | None:
        """Return when the offer that stands lapses."""
        return None if self._offered is None else self._since + OFFER_SECONDS

    def _fits(self, entry: str, free: Resources) -> bool:
        return self._wanted[entry].need.fits(free)

    def _offer(self, now: float, free: Resources) -> None:
        fitting = [entry for entry in self._wanted if self._fits(entry, free)]
        self._offered = min(fitting, key=lambda e: self._wanted[e].urgent_at, default=None)
        self._since = now

"""The time in which a home may accept an id: from shortly before its minting to its window's end.

A home keeps an id's record until the window has passed by its own clock, so dropping the record
can't cause a second run.
"""

from dataclasses import dataclass
from typing import final

from paddleshunt_core.ids import Incarnation, InvalidId, parse_id
from paddleshunt_core.outcomes import NotAccepted, Outcome, Unknown

SKEW_RETRY_MS = 1000
"""Milliseconds after which a caller may retry with an id that was minted in the future."""


@final
@dataclass(frozen=True, slots=True)
class IdWindow:
    """The acceptance window of one home's ids. `window` and `skew` are seconds."""

    home: Incarnation
    window: float
    skew: float

    def rejection(self, now: float, name: str) -> Outcome | None:
        """Return why an id without a record can't be accepted now, or None if it can be."""
        parsed = parse_id(name)
        if isinstance(parsed, InvalidId) or parsed.home != self.home:
            return NotAccepted("the id names another home", 0)
        minted = parsed.minted_ms / 1000
        if now > minted + self.window:
            return Unknown("the id is too old; what was known of it may be forgotten")
        if now < minted - self.skew:
            return NotAccepted("the id was minted in the future", SKEW_RETRY_MS)
        return None

    def forget_at(self, now: float, name: str) -> float:
        """Return the time in seconds from which the id can't be accepted, even without a record."""
        parsed = parse_id(name)
        if isinstance(parsed, InvalidId):
            return now + self.window
        return parsed.minted_ms / 1000 + self.window + self.skew

"""When a home may accept an id: from shortly before it was minted until its window has passed.

A home keeps what it knows of an id until the window has passed by its own clock, so forgetting
can't run anything twice.
"""

from dataclasses import dataclass
from typing import final

from paddleshunt_core.ids import Incarnation, InvalidId, parse_id
from paddleshunt_core.outcomes import NotAccepted, Outcome, Unknown

SKEW_RETRY_MS = 1000
"""When a caller is told to come back with an id from the future, in milliseconds."""


@final
@dataclass(frozen=True, slots=True)
class IdWindow:
    """The window of the ids that name one home. `window` and `skew` are seconds."""

    home: Incarnation
    window: float
    skew: float

    def rejection(self, now: float, name: str) -> Outcome | None:
        """Return why an id without a record can't be accepted now, or None if it can."""
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
        """Return when the id can no longer be accepted, whatever this home remembers."""
        parsed = parse_id(name)
        if isinstance(parsed, InvalidId):
            return now + self.window
        return parsed.minted_ms / 1000 + self.window + self.skew

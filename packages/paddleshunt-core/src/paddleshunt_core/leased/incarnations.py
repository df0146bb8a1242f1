"""Which life of a runner a heartbeat speaks for: it may be late, or from a life that has ended.

A cut can hold a heartbeat back until its sender has crashed and another life has registered at the
same address. So only a life that is not known to have ended is followed, and one that would replace
a known life is followed once the runner itself has said which of them it is. One that is denied so
may be the next life all the same, which registers while the last one drains: it is heard again once
that has ended.
"""

from collections import deque
from enum import Enum, auto
from typing import final

from paddleshunt_core.leased.orders import RunnerAccount

PAST_LIVES = 32
"""Ended lives that are remembered: some per day, and a cut holds a heartbeat back for seconds."""


class Claim(Enum):
    """What a heartbeat is worth.

    CURRENT: news of the known life. NEW: of the first one known. DOUBTFUL: of another life than the
    known one; the runner has to confirm it. LATE: nothing to go by.
    """

    CURRENT = auto()
    NEW = auto()
    DOUBTFUL = auto()
    LATE = auto()


@final
class Incarnations:
    """The lives of one runner: the one that is followed, and those that have ended."""

    def __init__(self) -> None:
        self._current = ""
        self._sequence = 0
        self._past: deque[str] = deque(maxlen=PAST_LIVES)
        self._denied: deque[str] = deque(maxlen=PAST_LIVES)
        """Lives that the runner has denied to be while the followed one lives."""

    def judge(self, account: RunnerAccount) -> Claim:
        """Return what an account that has just come is worth."""
        if account.runner in self._past:
            return Claim.LATE
        if not self._current:
            return Claim.NEW
        if account.runner != self._current:
            return Claim.LATE if account.runner in self._denied else Claim.DOUBTFUL
        late = 0 < account.sequence <= self._sequence
        return Claim.LATE if late else Claim.CURRENT

    def follow(self, account: RunnerAccount) -> None:
        """Follow the life that an account is of."""
        if account.runner != self._current:
            self.end()
        self._current = account.runner
        self._sequence = max(self._sequence, account.sequence)

    def end(self, *, answered: bool = True) -> None:
        """Note that the followed life has ended; one that never `answered` may yet come."""
        if self._current and answered:
            self.has_ended(self._current)
        self._current = ""
        self._sequence = 0
        self._denied.clear()

    def deny(self, runner: str) -> None:
        """Note that the runner says it is not this life: it may be the one after the followed."""
        if runner not in self._denied:
            self._denied.append(runner)

    def has_ended(self, runner: str) -> None:
        """Note that a life has ended; it is never followed again."""
        if runner not in self._past:
            self._past.append(runner)

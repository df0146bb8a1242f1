"""Which life of a runner a heartbeat speaks for: it may be late, or from a life that has ended.

A cut can hold a heartbeat back until its sender has crashed and another life has registered at the
same address, under the same id even. So only a life that is not known to have ended is followed,
and one that would replace a known life is followed once the runner itself has said which of them
it is: its lists of runs say whose they are. Nothing else orders lives, as hosts' clocks may be set.
One that is denied so may be the next life all the same, which registers while the last one drains:
it is heard again once that has ended.

A number far ahead may be another writer's: followed, it would make all that the life says seem
late. So one counts only if the account of that life before it was as far ahead, and earlier.
"""

from collections import deque
from enum import Enum, auto
from typing import final

from paddleshunt_core.leased.orders import RunnerStatus
from paddleshunt_core.leased.runnerincarnation import RunnerIncarnation

PAST_LIVES = 32
"""Ended lives that are remembered: some per day, and a cut holds a heartbeat back for seconds."""


MOST_SKIPPED = 16
"""Accounts of a life that may go missing in a row: some 20 s, longer than cuts usually last.

After a longer one the second account is followed, and so is each second one of a life that counts
in wider steps. For so many accounts another writer's number can make the life's own seem late.
"""


class HeartbeatClass(Enum):
    """What a heartbeat is worth.

    CURRENT: news of the known life. NEW: of the first one known. DOUBTFUL: of another life than the
    known one; the runner has to confirm it. LATE: nothing to go by.
    """

    CURRENT = auto()
    NEW = auto()
    UNCONFIRMED = auto()
    LATE = auto()


@final
class Incarnations:
    """The lives of one runner: the one that is followed, and those that have ended."""

    def __init__(self) -> None:
        self._current: RunnerIncarnation | None = None
        self.changes = 0
        """How often another life has been followed than before, or none any more."""
        self._tells_none = False
        """Whether its own lists did not say when it started: a life that says so is another."""
        self._sequence = 0
        self._leap: int | None = None
        """The number of the last account, if it was far ahead of those before."""
        self._past: deque[RunnerIncarnation] = deque(maxlen=PAST_LIVES)
        self._denied: deque[RunnerIncarnation] = deque(maxlen=PAST_LIVES)
        """Lives that the runner has denied to be while the followed one lives."""

    @property
    def current(self) -> RunnerIncarnation | None:
        """The life that is followed; it may not have given an account of itself yet."""
        return self._current

    def classify(self, status: RunnerStatus) -> HeartbeatClass:
        """Return what an account that has just come is worth."""
        if self._has_ended(status.runner):
            return HeartbeatClass.LATE
        if self._current is None:
            return HeartbeatClass.NEW
        if not self.is_current(status.runner):
            return (
                HeartbeatClass.LATE if status.runner in self._denied else HeartbeatClass.UNCONFIRMED
            )
        if 0 < status.sequence <= self._sequence or not self._goes_on(status):
            return HeartbeatClass.LATE
        return HeartbeatClass.CURRENT

    def _goes_on(self, status: RunnerStatus) -> bool:
        """Whether its number is near, or follows another far one; the first may have any."""
        if not self._sequence or status.sequence <= self._sequence + MOST_SKIPPED:
            return True
        return self._leap is not None and status.sequence > self._leap

    def pass_over(self, status: RunnerStatus) -> None:
        """Note an account that was judged late: the next one may go on from a number far ahead."""
        if not self.is_current(status.runner) or status.sequence <= self._sequence:
            return
        if self._leap is None or not 0 <= self._leap - status.sequence <= MOST_SKIPPED:
            self._leap = status.sequence

    def is_current(self, life: RunnerIncarnation) -> bool:
        """Whether a life may be the one that is followed, as far as both are told."""
        if self._current is None or (self._tells_none and life.born):
            return False
        return self._current.may_be_same(life)

    def follow(self, status: RunnerStatus) -> None:
        """Follow the life that an account is of."""
        self.meet(status.runner)
        self._leap = None
        self._sequence = max(self._sequence, status.sequence)

    def answered_as(self, life: RunnerIncarnation) -> None:
        """Follow the life that the runner itself has said to be in its lists."""
        self.meet(life)
        self._tells_none = self._current is not None and not self._current.born

    def meet(self, life: RunnerIncarnation) -> None:
        """Follow a life, or learn more of the one that is followed."""
        if not self.is_current(life):
            self.end()
            self._current = life
            self.changes += 1
        elif life.born:
            self._current = life

    def end(self, *, answered: bool = True) -> None:
        """Note that the followed life has ended; one that never `answered` may yet come."""
        if self._current is not None and answered:
            self.note_ended(self._current)
        if self._current is not None:
            self.changes += 1
        self._current = None
        self._tells_none = False
        self._sequence = 0
        self._leap = None
        self._denied.clear()

    def deny(self, life: RunnerIncarnation) -> None:
        """Note that the runner says it is not this life: it may be the one after the followed."""
        if life not in self._denied:
            self._denied.append(life)

    def note_ended(self, life: RunnerIncarnation) -> None:
        """Note that a life has ended; it is never followed again."""
        if life not in self._past:
            self._past.append(life)

    def _has_ended(self, life: RunnerIncarnation) -> bool:
        """Whether a life is known to have ended; one that doesn't tell its start goes by its id."""
        return life in self._past or (not life.born and any(map(life.may_be_same, self._past)))

"""Tracks the incarnations of a runner and distinguishes current heartbeats from late ones.

A network partition can delay a heartbeat until its sender has crashed and another incarnation has
registered at the same address, even under the same id. So an incarnation that has ended is never
accepted again, and one that would replace the current one is accepted only once the runner's own
answers name it. Incarnations have no other order, as hosts' clocks may be set. A denied one may be
the next, registered while the current one drains: it is considered again when that one has ended.

A sequence number far ahead may come from another process; accepted, it would make the incarnation's
own heartbeats look late. So it is accepted only if it continues a smaller one, also far ahead.
"""

from collections import deque
from enum import Enum, auto
from typing import final

from paddleshunt_core.leased.orders import RunnerStatus
from paddleshunt_core.leased.runnerincarnation import RunnerIncarnation

MAX_REMEMBERED = 32
"""Maximum number of ended incarnations remembered; partitions delay heartbeats by seconds."""


MAX_SEQUENCE_GAP = 16
"""Maximum increase of the sequence number between heartbeats that is accepted at once.

After a larger gap, only a second heartbeat with a higher number is accepted. It also bounds how
many of an incarnation's own heartbeats another process's number can make look late.
"""


class HeartbeatClass(Enum):
    """How a heartbeat relates to the current incarnation.

    CURRENT: newer status of it. NEW: there is no current one. UNCONFIRMED: of another incarnation,
    which the runner has to confirm. LATE: outdated, to be ignored.
    """

    CURRENT = auto()
    NEW = auto()
    UNCONFIRMED = auto()
    LATE = auto()


@final
class Incarnations:
    """The current, the ended and the denied incarnations of one runner."""

    def __init__(self) -> None:
        self._current: RunnerIncarnation | None = None
        self.changes = 0
        """How often the current incarnation has been replaced or has ended."""
        self._lacks_start_time = False
        """Whether its answers carry no start time; one that has a start time is then another."""
        self._sequence = 0
        self._far_sequence: int | None = None
        """Sequence number of the last ignored heartbeat, if it was too far ahead."""
        self._ended: deque[RunnerIncarnation] = deque(maxlen=MAX_REMEMBERED)
        self._denied: deque[RunnerIncarnation] = deque(maxlen=MAX_REMEMBERED)
        """Incarnations that the runner has denied being, since the current one began."""

    @property
    def current(self) -> RunnerIncarnation | None:
        """The current incarnation; it may not have sent a heartbeat yet."""
        return self._current

    def classify(self, status: RunnerStatus) -> HeartbeatClass:
        """Return how a received heartbeat relates to the current incarnation."""
        if self._has_ended(status.runner):
            return HeartbeatClass.LATE
        if self._current is None:
            return HeartbeatClass.NEW
        if not self.is_current(status.runner):
            return (
                HeartbeatClass.LATE if status.runner in self._denied else HeartbeatClass.UNCONFIRMED
            )
        if 0 < status.sequence <= self._sequence or not self._is_in_sequence(status):
            return HeartbeatClass.LATE
        return HeartbeatClass.CURRENT

    def _is_in_sequence(self, status: RunnerStatus) -> bool:
        """Whether the number is at most `MAX_SEQUENCE_GAP` ahead, or continues one that was not.

        The first number may be any.
        """
        if not self._sequence or status.sequence <= self._sequence + MAX_SEQUENCE_GAP:
            return True
        return self._far_sequence is not None and status.sequence > self._far_sequence

    def record_late(self, status: RunnerStatus) -> None:
        """Record a late heartbeat; if its number is far ahead, the next may continue from it."""
        if not self.is_current(status.runner) or status.sequence <= self._sequence:
            return
        if (
            self._far_sequence is None
            or not 0 <= self._far_sequence - status.sequence <= MAX_SEQUENCE_GAP
        ):
            self._far_sequence = status.sequence

    def is_current(self, incarnation: RunnerIncarnation) -> bool:
        """Whether this may be the current incarnation, as far as their start times are known."""
        if self._current is None or (self._lacks_start_time and incarnation.born):
            return False
        return self._current.may_be_same(incarnation)

    def accept(self, status: RunnerStatus) -> None:
        """Accept a heartbeat: its sender becomes the current incarnation."""
        self.set_current(status.runner)
        self._far_sequence = None
        self._sequence = max(self._sequence, status.sequence)

    def confirm(self, incarnation: RunnerIncarnation) -> None:
        """Make current the incarnation that the runner's own answer names."""
        self.set_current(incarnation)
        self._lacks_start_time = self._current is not None and not self._current.born

    def set_current(self, incarnation: RunnerIncarnation) -> None:
        """Make an incarnation current, or learn the start time of the current one."""
        if not self.is_current(incarnation):
            self.end_current()
            self._current = incarnation
            self.changes += 1
        elif incarnation.born:
            self._current = incarnation

    def end_current(self, *, answered: bool = True) -> None:
        """End the current incarnation; one that never `answered` may yet start."""
        if self._current is not None and answered:
            self.mark_ended(self._current)
        if self._current is not None:
            self.changes += 1
        self._current = None
        self._lacks_start_time = False
        self._sequence = 0
        self._far_sequence = None
        self._denied.clear()

    def deny(self, incarnation: RunnerIncarnation) -> None:
        """Record that the runner denied being this incarnation, which may start later."""
        if incarnation not in self._denied:
            self._denied.append(incarnation)

    def mark_ended(self, incarnation: RunnerIncarnation) -> None:
        """Record that an incarnation has ended; its heartbeats are late from now on."""
        if incarnation not in self._ended:
            self._ended.append(incarnation)

    def _has_ended(self, incarnation: RunnerIncarnation) -> bool:
        """Whether an incarnation has ended; one without a start time is matched by its id."""
        return incarnation in self._ended or (
            not incarnation.born and any(map(incarnation.may_be_same, self._ended))
        )

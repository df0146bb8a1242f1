"""A session between an entry and a target: an ordered, resumable stream, and a lease.

Either side numbers what it sends and keeps it until the other has it, so a session outlives its
connection. The target's side is a lease of the entry: it runs out when the entry's last echo of the
target's own clock is older than the lease. Delays on the way can only shorten it. While nothing
runs under it, it may run out and be renewed by a later echo.
"""

from collections import deque
from collections.abc import Iterable
from typing import final

from paddleshunt_core.leased.wire import Body, Frame


def lower_quartile_echo_age(now: float, sessions: Iterable["Session"]) -> float | None:
    """Return how old the newest echoes are at a good quarter of the peers; None without any.

    A session that has just opened says nothing: where echoes come late, sessions end and open.
    """
    known = (session.echo_age(now) for session in sessions)
    ages = sorted(age for age in known if age is not None)
    return ages[len(ages) // 4] if ages else None


@final
class Session:
    """One side of a session.

    `opened_ms` is the own steady clock at the opening.
    """

    def __init__(self, number: int, opened_ms: int) -> None:
        self.number = number
        self._opened_ms = opened_ms
        self.received = 0
        self.acknowledged = 0
        """The newest own body that the peer has."""
        self.confirmed_ms = opened_ms
        """The newest own stamp that the peer has echoed: it was alive then or later."""
        self.renewed_ms = opened_ms
        """When the newest stamp was heard whose echo has been sent: the peer's lease ends by it."""
        self._heard_stamp = 0
        self._heard_ms: int | None = None
        """When the newest stamp was heard."""
        self._echoed_stamp = 0
        self._next = 1
        self._unacknowledged: deque[tuple[int, Body]] = deque()
        self._unsent: deque[tuple[int, Body]] = deque()

    def send(self, body: Body) -> int:
        """Queue `body` for the next frame and return its number."""
        number = self._next
        self._next += 1
        self._unsent.append((number, body))
        return number

    @property
    def pending(self) -> bool:
        """Whether a frame is due before the next heartbeat."""
        return bool(self._unsent)

    def frame(self, now_ms: int) -> Frame:
        """Return the next frame: what is queued, acknowledgement, stamp and echo."""
        first = self._unsent[0][0] if self._unsent else self._next
        bodies = [body for _, body in self._unsent]
        self._unacknowledged.extend(self._unsent)
        self._unsent.clear()
        if self._heard_stamp > self._echoed_stamp:
            self._echoed_stamp = self._heard_stamp
            self.renewed_ms = now_ms if self._heard_ms is None else self._heard_ms
        return Frame(first, self.received, now_ms, self._heard_stamp, bodies)

    def echo_age(self, now: float) -> float | None:
        """Return how many seconds old the peer's newest echo is; None if it has echoed nothing."""
        if self.confirmed_ms == self._opened_ms:
            return None
        return now - self.confirmed_ms / 1000

    def has_gap_before(self, frame: Frame) -> bool:
        """Whether a frame comes after a gap: what is missing comes over the next connection."""
        return frame.first > self.received + 1

    def accept(self, frame: Frame, now_ms: int | None = None) -> list[Body]:
        """Take a frame and return the bodies that are new; `now_ms`: when it was heard.

        One after a gap is not taken at all: its echo would renew the lease for bodies that are
        missing, and what they withdraw would go on.
        """
        if self.has_gap_before(frame):
            return []
        skip = self.received + 1 - frame.first
        if frame.stamp_ms > self._heard_stamp:
            self._heard_stamp = frame.stamp_ms
            self._heard_ms = now_ms
        self.confirmed_ms = max(self.confirmed_ms, frame.echo_ms)
        self._acknowledged(frame.received)
        fresh = frame.bodies[skip:]
        self.received += len(fresh)
        return fresh

    def resume(self, received: int) -> None:
        """Go on over a new connection with a peer that has bodies up to `received`."""
        self._acknowledged(received)
        self._unsent.extendleft(reversed(self._unacknowledged))
        self._unacknowledged.clear()

    def _acknowledged(self, received: int) -> None:
        self.acknowledged = max(self.acknowledged, received)
        while self._unacknowledged and self._unacknowledged[0][0] <= received:
            self._unacknowledged.popleft()

"""A session between an entry and a target: an ordered, resumable stream, and a lease.

Each side numbers the bodies it sends and keeps them until they are acknowledged, so a session
outlives its connection. To the target the session is a lease held by the entry: it expires once the
last stamp of the target's own clock that the entry echoed is older than the lease, so network
delays can only shorten it. While nothing runs under it, an expired lease is renewed by an echo.
"""

from collections import deque
from collections.abc import Iterable
from typing import final

from paddleshunt_core.leased.wire import Body, Frame


def lower_quartile_echo_age(now: float, sessions: Iterable["Session"]) -> float | None:
    """Return the lower quartile of the sessions' echo ages in seconds, or None if there are none.

    Sessions without an echo don't count: where echoes are late, sessions end and reopen often.
    """
    echo_ages = (session.echo_age(now) for session in sessions)
    ages = sorted(age for age in echo_ages if age is not None)
    return ages[len(ages) // 4] if ages else None


@final
class Session:
    """One side of a session.

    `opened_ms` is this side's steady clock when the session opened.
    """

    def __init__(self, number: int, opened_ms: int) -> None:
        self.number = number
        self._opened_ms = opened_ms
        self.received = 0
        """Number of the last body received from the peer."""
        self.acknowledged = 0
        """Number of the last own body that the peer has received."""
        self.confirmed_ms = opened_ms
        """The newest own stamp that the peer has echoed: the peer was alive then or later."""
        self.renewed_ms = opened_ms
        """When the newest stamp echoed to the peer was received: bounds the peer's lease."""
        self._peer_stamp = 0
        self._stamp_received_ms: int | None = None
        """When the peer's newest stamp was received; None if it was not given."""
        self._echoed_stamp = 0
        self._next_number = 1
        self._unacknowledged: deque[tuple[int, Body]] = deque()
        self._unsent: deque[tuple[int, Body]] = deque()

    def send(self, body: Body) -> int:
        """Queue `body` for the next frame and return its number."""
        number = self._next_number
        self._next_number += 1
        self._unsent.append((number, body))
        return number

    @property
    def pending(self) -> bool:
        """Whether bodies are queued, so that a frame is due before the next heartbeat."""
        return bool(self._unsent)

    def frame(self, now_ms: int) -> Frame:
        """Return the next frame, with the queued bodies, acknowledgement, stamp and echo."""
        first = self._unsent[0][0] if self._unsent else self._next_number
        bodies = [body for _, body in self._unsent]
        self._unacknowledged.extend(self._unsent)
        self._unsent.clear()
        if self._peer_stamp > self._echoed_stamp:
            self._echoed_stamp = self._peer_stamp
            self.renewed_ms = now_ms if self._stamp_received_ms is None else self._stamp_received_ms
        return Frame(first, self.received, now_ms, self._peer_stamp, bodies)

    def echo_age(self, now: float) -> float | None:
        """Return the age of the peer's newest echo in seconds, or None if it has echoed nothing."""
        if self.confirmed_ms == self._opened_ms:
            return None
        return now - self.confirmed_ms / 1000

    def has_gap_before(self, frame: Frame) -> bool:
        """Whether bodies before the frame are missing; they are sent again after a reconnect."""
        return frame.first > self.received + 1

    def accept(self, frame: Frame, now_ms: int | None = None) -> list[Body]:
        """Process a frame received at `now_ms` and return its new bodies.

        A frame after a gap is ignored: its echo would renew the lease although the missing bodies
        may stop runs.
        """
        if self.has_gap_before(frame):
            return []
        skip = self.received + 1 - frame.first
        if frame.stamp_ms > self._peer_stamp:
            self._peer_stamp = frame.stamp_ms
            self._stamp_received_ms = now_ms
        self.confirmed_ms = max(self.confirmed_ms, frame.echo_ms)
        self._record_acknowledgement(frame.received)
        new_bodies = frame.bodies[skip:]
        self.received += len(new_bodies)
        return new_bodies

    def resume(self, received: int) -> None:
        """Resume over a new connection to a peer that has received bodies up to `received`."""
        self._record_acknowledgement(received)
        self._unsent.extendleft(reversed(self._unacknowledged))
        self._unacknowledged.clear()

    def _record_acknowledgement(self, received: int) -> None:
        self.acknowledged = max(self.acknowledged, received)
        while self._unacknowledged and self._unacknowledged[0][0] <= received:
            self._unacknowledged.popleft()

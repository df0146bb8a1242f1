"""What becomes of calls on their way to a runner of a soak, and of its answers on their way back.

A runner behind such a wire lives on, and its heartbeats go on. Which calls are hit is drawn; an end
of a trouble spares the calls that come after it, but what was put off still arrives.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from time import monotonic
from weakref import WeakSet

from paddleshunt_node.aio.httpserver import Exchange

PUT_OFF_SECONDS = (2.0, 12.0)
"""Seconds after which a call that was put off is carried out: newer ones have come before it."""

UNANSWERED = "unanswered"
"""Calls get no answer, and are carried out later."""

RESETS = "resets"
"""Calls are carried out, and their connections are closed in the place of an answer."""

MUTE = "mute"
"""Connections say nothing for good, and nothing that comes on them is carried out."""

KINDS = (UNANSWERED, RESETS, MUTE)

RUNNERS = (0.4, 1.0)
"""Share of the runners that are troubled together."""

CALLS = (0.3, 1.0)
"""Share of the calls that are hit at each of them; of connections, if they fall mute."""


@dataclass(slots=True)
class _Trouble:
    """Until when calls are hit, and what share of them; of connections, if they fall mute."""

    until: float
    share: float
    rng: Random

    def draws(self) -> bool:
        """Whether the next call is hit."""
        return self.rng.random() < self.share


class Wire:
    """The way to one runner and back."""

    def __init__(self) -> None:
        self._troubles: dict[str, _Trouble] = {}
        self._mute: WeakSet[object] = WeakSet()
        self._sound: WeakSet[object] = WeakSet()
        """Connections whose lot was drawn in the trouble that there is now, and that work."""
        self.hit = dict.fromkeys(KINDS, 0)
        """Calls that were hit, by kind."""

    def trouble(self, kind: str, share: float, seconds: float, rng: Random) -> None:
        """Hit a share of the calls for some seconds, in the place of a trouble of this kind."""
        if kind == MUTE:
            self._sound.clear()
        self._troubles[kind] = _Trouble(monotonic() + seconds, share, rng)

    def takes(self, exchange: Exchange, carry_out: Callable[[], None]) -> bool:
        """Whether a call is lost on its way, or put off; it gets no answer then."""
        if self._is_mute(exchange):
            self.hit[MUTE] += 1
            return True
        trouble = self._now(UNANSWERED)
        if trouble is None or not trouble.draws():
            return False
        self.hit[UNANSWERED] += 1
        later = trouble.rng.uniform(*PUT_OFF_SECONDS)
        asyncio.get_running_loop().call_later(later, carry_out)
        return True

    def resets(self, exchange: Exchange) -> bool:
        """Whether an answer is lost: its connection has been closed then."""
        trouble = self._now(RESETS)
        if trouble is None or not trouble.draws():
            return False
        self.hit[RESETS] += 1
        # The server has no way for a handler to end a connection without an answer.
        transport = exchange._connection.transport
        if transport is not None:
            transport.abort()
        return True

    def _is_mute(self, exchange: Exchange) -> bool:
        connection = exchange._connection
        trouble = self._now(MUTE)
        if connection in self._mute:
            return True
        if trouble is None or connection in self._sound:
            return False
        mute = trouble.draws()
        (self._mute if mute else self._sound).add(connection)
        return mute

    def _now(self, kind: str) -> _Trouble | None:
        """Return the trouble of a kind that there is now."""
        trouble = self._troubles.get(kind)
        return trouble if trouble is not None and monotonic() < trouble.until else None


def trouble_many(wires: list[Wire], kind: str, rng: Random, seconds: float) -> None:
    """Trouble a large share of the wires together, each its own share of the calls."""
    number = max(1, round(rng.uniform(*RUNNERS) * len(wires)))
    for wire in rng.sample(wires, number):
        wire.trouble(kind, rng.uniform(*CALLS), seconds, Random(rng.random()))

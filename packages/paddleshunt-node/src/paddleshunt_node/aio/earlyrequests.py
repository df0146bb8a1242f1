"""Requests that come before an entry has read its first configuration.

They wait a moment for it, as the store answers in milliseconds; without one they are refused.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import final

from paddleshunt_node.aio import clock
from paddleshunt_node.aio.httpserver import Exchange, Response

HOLD_SECONDS = 0.5
"""Longest time that a request waits for the configuration."""

MAX_HELD = 1000
"""Requests that may wait at once."""


@final
@dataclass(frozen=True, slots=True)
class _Held:
    exchange: Exchange
    since: float


@final
class EarlyRequests:
    """The requests that wait, by their numbers."""

    def __init__(self, refusal: Callable[[], Response]) -> None:
        self._refusal = refusal
        self._held: dict[int, _Held] = {}

    def hold(self, exchange: Exchange) -> None:
        """Let a request wait; refuse it if there are too many, or once it has waited too long."""
        if len(self._held) >= MAX_HELD:
            exchange.respond(self._refusal())
            return
        self._held[exchange.number] = _Held(exchange, clock.now())
        loop = asyncio.get_running_loop()
        loop.call_later(HOLD_SECONDS, lambda: self._refuse(exchange.number))

    def drop(self, number: int) -> None:
        """Forget a request whose caller has left."""
        self._held.pop(number, None)

    def release(self) -> list[tuple[Exchange, float]]:
        """Return the requests that wait, and for how many seconds each has; they wait no more."""
        now = clock.now()
        released = [(held.exchange, now - held.since) for held in self._held.values()]
        self._held.clear()
        return released

    def _refuse(self, number: int) -> None:
        held = self._held.pop(number, None)
        if held is not None:
            held.exchange.respond(self._refusal())

"""Requests that arrive before an entry has its first configuration.

They are held until it arrives, and refused after `HOLD_SECONDS`.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import final

from paddleshunt_node.aio import clock
from paddleshunt_node.aio.httpserver import Exchange, Response

HOLD_SECONDS = 0.5
"""Maximum seconds for which a request is held."""

MAX_HELD = 1000
"""Maximum number of held requests."""


@final
@dataclass(frozen=True, slots=True)
class _Held:
    exchange: Exchange
    since: float


@final
class EarlyRequests:
    """The held requests; `refusal` makes the response to those that are refused."""

    def __init__(self, refusal: Callable[[], Response]) -> None:
        self._refusal = refusal
        self._held: dict[int, _Held] = {}

    def hold(self, exchange: Exchange) -> None:
        """Hold a request; refuse it if too many are held, or after `HOLD_SECONDS`."""
        if len(self._held) >= MAX_HELD:
            exchange.respond(self._refusal())
            return
        self._held[exchange.number] = _Held(exchange, clock.now())
        loop = asyncio.get_running_loop()
        loop.call_later(HOLD_SECONDS, lambda: self._refuse(exchange.number))

    def drop(self, number: int) -> None:
        """Remove a request whose caller has disconnected."""
        self._held.pop(number, None)

    def release(self) -> list[tuple[Exchange, float]]:
        """Remove and return all held requests, each with the seconds it was held."""
        now = clock.now()
        released = [(held.exchange, now - held.since) for held in self._held.values()]
        self._held.clear()
        return released

    def _refuse(self, number: int) -> None:
        held = self._held.pop(number, None)
        if held is not None:
            held.exchange.respond(self._refusal())

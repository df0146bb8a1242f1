"""Tests for `EarlyRequests`."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import cast

import pytest
from paddleshunt_node.aio import earlyrequests
from paddleshunt_node.aio.earlyrequests import EarlyRequests
from paddleshunt_node.aio.httpserver import Exchange, Response


class FakeExchange:
    """An exchange that records its responses."""

    def __init__(self, number: int) -> None:
        self.number = number
        self.responses: list[Response] = []

    def respond(self, response: Response) -> None:
        self.responses.append(response)


def run_scenario(
    monkeypatch: pytest.MonkeyPatch,
    scenario: Callable[[EarlyRequests, list[FakeExchange]], Awaitable[None]],
) -> list[FakeExchange]:
    """Run a scenario with two held requests, and return them."""
    exchanges = [FakeExchange(1), FakeExchange(2)]

    async def run() -> None:
        early = EarlyRequests(lambda: Response(503))
        for exchange in exchanges:
            early.hold(cast("Exchange", exchange))
        await scenario(early, exchanges)

    monkeypatch.setattr(earlyrequests, "HOLD_SECONDS", 0.05)
    asyncio.run(asyncio.wait_for(run(), 20))
    return exchanges


def test_released_requests_are_not_refused(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario(early: EarlyRequests, exchanges: list[FakeExchange]) -> None:
        assert [exchange for exchange, _ in early.release()] == exchanges
        assert early.release() == []
        await asyncio.sleep(0.1)

    assert [exchange.responses for exchange in run_scenario(monkeypatch, scenario)] == [[], []]


def test_release_returns_hold_times(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario(early: EarlyRequests, exchanges: list[FakeExchange]) -> None:
        await asyncio.sleep(0.02)
        assert all(waited >= 0.015 for _, waited in early.release())

    run_scenario(monkeypatch, scenario)


def test_requests_are_refused_after_the_hold_time(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario(early: EarlyRequests, exchanges: list[FakeExchange]) -> None:
        early.drop(2)
        await asyncio.sleep(0.1)

    assert [len(exchange.responses) for exchange in run_scenario(monkeypatch, scenario)] == [1, 0]


def test_requests_over_the_limit_are_refused_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(earlyrequests, "MAX_HELD", 1)

    async def scenario(early: EarlyRequests, exchanges: list[FakeExchange]) -> None:
        assert [len(exchange.responses) for exchange in exchanges] == [0, 1]

    run_scenario(monkeypatch, scenario)

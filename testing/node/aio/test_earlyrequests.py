"""Requests that wait for an entry's first configuration."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import cast

import pytest
from paddleshunt_node.aio import earlyrequests
from paddleshunt_node.aio.earlyrequests import EarlyRequests
from paddleshunt_node.aio.httpserver import Exchange, Response


class Asked:
    """An exchange that notes its answer."""

    def __init__(self, number: int) -> None:
        self.number = number
        self.answers: list[Response] = []

    def respond(self, response: Response) -> None:
        self.answers.append(response)


def play(
    monkeypatch: pytest.MonkeyPatch,
    scene: Callable[[EarlyRequests, list[Asked]], Awaitable[None]],
) -> list[Asked]:
    """Play a scene with two requests that wait; return them."""
    asked = [Asked(1), Asked(2)]

    async def run() -> None:
        early = EarlyRequests(lambda: Response(503))
        for each in asked:
            early.hold(cast("Exchange", each))
        await scene(early, asked)

    monkeypatch.setattr(earlyrequests, "HOLD_SECONDS", 0.05)
    asyncio.run(asyncio.wait_for(run(), 20))
    return asked


def test_they_are_released_once_and_refused_no_more(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scene(early: EarlyRequests, asked: list[Asked]) -> None:
        assert [exchange for exchange, _ in early.release()] == asked
        assert early.release() == []
        await asyncio.sleep(0.1)

    assert [each.answers for each in play(monkeypatch, scene)] == [[], []]


def test_each_tells_how_long_it_has_waited(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scene(early: EarlyRequests, asked: list[Asked]) -> None:
        await asyncio.sleep(0.02)
        assert all(waited >= 0.015 for _, waited in early.release())

    play(monkeypatch, scene)


def test_without_a_configuration_they_are_refused(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scene(early: EarlyRequests, asked: list[Asked]) -> None:
        early.drop(2)
        await asyncio.sleep(0.1)

    assert [len(each.answers) for each in play(monkeypatch, scene)] == [1, 0]


def test_more_than_may_wait_are_refused_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(earlyrequests, "MAX_HELD", 1)

    async def scene(early: EarlyRequests, asked: list[Asked]) -> None:
        assert [len(each.answers) for each in asked] == [0, 1]

    play(monkeypatch, scene)

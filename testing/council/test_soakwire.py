"""Tests of the faults that the soak injects between a target and its runner."""

import asyncio
from collections.abc import Awaitable, Callable
from random import Random

import pytest
import soakwire
from paddleshunt_node.aio.httpclient import CallError, HttpClient, HttpResponse
from paddleshunt_node.aio.httpserver import Exchange, HttpServer, Response
from paddleshunt_platform.standins.ports import free_port
from soakwire import MUTE, RESETS, UNANSWERED, Wire

ANSWER_TIMEOUT = 0.1
"""Seconds that a caller waits for a missing answer."""


class Runner:
    """A runner that counts the orders that it executes, with faults on its connections."""

    def __init__(self) -> None:
        self.wire = Wire()
        self.executed = 0
        self.address = f"127.0.0.1:{free_port()}"
        self.executed_event = asyncio.Event()

    async def start(self) -> None:
        await HttpServer(self).start(self.address)

    def handle(self, exchange: Exchange) -> None:
        if self.wire.takes(exchange, self._execute):
            return
        self._execute()
        if not self.wire.resets(exchange):
            exchange.respond(Response(200))

    def _execute(self) -> None:
        self.executed += 1
        self.executed_event.set()

    def abandoned(self, exchange: Exchange) -> None:
        pass


async def send_order(client: HttpClient, seconds: float = ANSWER_TIMEOUT) -> HttpResponse:
    return await client.call("POST", "/order", seconds, b"")


async def delayed_order(runner: Runner) -> None:
    client = HttpClient(runner.address)
    runner.wire.trouble(UNANSWERED, 1.0, 60.0, Random(1))
    with pytest.raises(CallError):
        await send_order(client)
    assert runner.executed == 0
    runner.wire.trouble(UNANSWERED, 1.0, 0.0, Random(1))
    await runner.executed_event.wait()
    assert (await send_order(client, 30.0)).status == 200
    assert runner.executed == 2


async def reset_connection(runner: Runner) -> None:
    client = HttpClient(runner.address)
    runner.wire.trouble(RESETS, 1.0, 60.0, Random(1))
    with pytest.raises(CallError):
        await send_order(client, 30.0)
    assert runner.executed == 1
    runner.wire.trouble(RESETS, 1.0, 0.0, Random(1))
    assert (await send_order(client, 30.0)).status == 200


async def muted_connection(runner: Runner) -> None:
    muted_client = HttpClient(runner.address)
    runner.wire.trouble(MUTE, 1.0, 60.0, Random(1))
    muted_call = asyncio.ensure_future(send_order(muted_client, 30.0))
    while not runner.wire.hit[MUTE]:
        await asyncio.sleep(0.01)
    runner.wire.trouble(MUTE, 1.0, 0.0, Random(1))
    assert (await send_order(HttpClient(runner.address), 30.0)).status == 200
    assert not muted_call.done()
    assert runner.executed == 1
    muted_call.cancel()


@pytest.mark.parametrize("scene", [delayed_order, reset_connection, muted_connection])
def test_fault_affects_calls_or_answers(
    scene: Callable[[Runner], Awaitable[None]], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(soakwire, "PUT_OFF_SECONDS", (2 * ANSWER_TIMEOUT, 3 * ANSWER_TIMEOUT))

    async def run() -> None:
        runner = Runner()
        await runner.start()
        await scene(runner)

    asyncio.run(run())


def test_fault_affects_its_share_of_calls() -> None:
    async def run() -> int:
        runner = Runner()
        await runner.start()
        runner.wire.trouble(RESETS, 0.5, 60.0, Random(1))
        answered = 0
        for _ in range(40):
            try:
                await send_order(HttpClient(runner.address), 30.0)
                answered += 1
            except CallError:
                pass
        return answered

    assert 10 <= asyncio.run(run()) <= 30

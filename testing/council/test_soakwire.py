"""The soak's wire between a target and its runner brings its troubles about."""

import asyncio
from collections.abc import Awaitable, Callable
from random import Random

import pytest
import soakwire
from paddleshunt_node.aio.httpclient import CallError, HttpClient, HttpResponse
from paddleshunt_node.aio.httpserver import Exchange, HttpServer, Response
from paddleshunt_platform.standins.ports import free_port
from soakwire import MUTE, RESETS, UNANSWERED, Wire

PATIENCE = 0.1
"""Seconds that a caller waits for an answer that does not come."""


class Runner:
    """Answers what its wire lets through, and counts what it carries out."""

    def __init__(self) -> None:
        self.wire = Wire()
        self.carried_out = 0
        self.address = f"127.0.0.1:{free_port()}"
        self.late = asyncio.Event()

    async def start(self) -> None:
        await HttpServer(self).start(self.address)

    def handle(self, exchange: Exchange) -> None:
        if self.wire.takes(exchange, self._carry_out):
            return
        self._carry_out()
        if not self.wire.resets(exchange):
            exchange.respond(Response(200))

    def _carry_out(self) -> None:
        self.carried_out += 1
        self.late.set()

    def abandoned(self, exchange: Exchange) -> None:
        pass


async def ask(client: HttpClient, seconds: float = PATIENCE) -> HttpResponse:
    return await client.call("POST", "/order", seconds, b"")


async def put_off(runner: Runner) -> None:
    client = HttpClient(runner.address)
    runner.wire.trouble(UNANSWERED, 1.0, 60.0, Random(1))
    with pytest.raises(CallError):
        await ask(client)
    assert runner.carried_out == 0
    runner.wire.trouble(UNANSWERED, 1.0, 0.0, Random(1))
    await runner.late.wait()
    assert (await ask(client, 30.0)).status == 200
    assert runner.carried_out == 2


async def reset(runner: Runner) -> None:
    client = HttpClient(runner.address)
    runner.wire.trouble(RESETS, 1.0, 60.0, Random(1))
    with pytest.raises(CallError):
        await ask(client, 30.0)
    assert runner.carried_out == 1
    runner.wire.trouble(RESETS, 1.0, 0.0, Random(1))
    assert (await ask(client, 30.0)).status == 200


async def mute(runner: Runner) -> None:
    waiting = HttpClient(runner.address)
    runner.wire.trouble(MUTE, 1.0, 60.0, Random(1))
    silent = asyncio.ensure_future(ask(waiting, 30.0))
    while not runner.wire.hit[MUTE]:
        await asyncio.sleep(0.01)
    runner.wire.trouble(MUTE, 1.0, 0.0, Random(1))
    assert (await ask(HttpClient(runner.address), 30.0)).status == 200
    assert not silent.done()
    assert runner.carried_out == 1
    silent.cancel()


@pytest.mark.parametrize("scene", [put_off, reset, mute])
def test_a_trouble_takes_calls_or_answers(
    scene: Callable[[Runner], Awaitable[None]], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(soakwire, "PUT_OFF_SECONDS", (2 * PATIENCE, 3 * PATIENCE))

    async def run() -> None:
        runner = Runner()
        await runner.start()
        await scene(runner)

    asyncio.run(run())


def test_a_trouble_hits_its_share_alone() -> None:
    async def run() -> int:
        runner = Runner()
        await runner.start()
        runner.wire.trouble(RESETS, 0.5, 60.0, Random(1))
        answered = 0
        for _ in range(40):
            try:
                await ask(HttpClient(runner.address), 30.0)
                answered += 1
            except CallError:
                pass
        return answered

    assert 10 <= asyncio.run(run()) <= 30

"""A start that is withdrawn before it leaves must not be sent."""

import asyncio
import itertools
import json
import socket
import struct
import time
from collections.abc import Awaitable, Callable

import pytest
from councilsystem import System, play, until_true
from paddleshunt_core.leased.orders import Poll, PollAnswer, StartAnswer, StartRun, StopRun
from paddleshunt_core.leased.runnerincarnation import RunnerIncarnation
from paddleshunt_node.aio.httpclient import HttpResponse
from paddleshunt_node.aio.ports import OtherIncarnation, RunnerPort, Superseded

KEY = "5c0e7a21d94b36f8"

MIN_LEAVING_CALLERS = 5
"""Callers that must disconnect in time before the test ends."""


class GatedPort:
    """A runner port that holds starts back until it is opened."""

    def __init__(self, port: RunnerPort) -> None:
        self._port = port
        self.waiting = 0
        self.opened = asyncio.Event()

    def expect(self, incarnation: RunnerIncarnation | None) -> None:
        self._port.expect(incarnation)

    def refine_identity(self, incarnation: RunnerIncarnation) -> None:
        self._port.refine_identity(incarnation)

    def supersede(self) -> None:
        self._port.supersede()

    async def start(self, order: StartRun, may_send: Callable[[], bool]) -> StartAnswer:
        self.waiting += 1
        await self.opened.wait()
        return await self._port.start(order, may_send)

    async def stop(self, order: StopRun) -> bool:
        return await self._port.stop(order)

    async def poll(self, poll: Poll) -> PollAnswer | OtherIncarnation | Superseded | None:
        return await self._port.poll(poll)


async def disconnect_caller(system: System, job: "asyncio.Future[HttpResponse]") -> None:
    job.cancel()
    await until_true(lambda: system.entry.describe()["jobs"] == 0)


async def evacuate_hall(system: System, job: "asyncio.Future[HttpResponse]") -> None:
    system.store.put("op/evacuate/hall", b"{}")
    await until_true(lambda: bool(system.target.describe()["evacuated_halls"]))
    job.cancel()


@pytest.mark.parametrize("withdraw", [disconnect_caller, evacuate_hall])
def test_start_that_is_withdrawn_before_it_is_sent_starts_nothing(
    withdraw: Callable[[System, "asyncio.Future[HttpResponse]"], Awaitable[None]],
) -> None:
    gates: list[GatedPort] = []

    def gated(port: RunnerPort) -> RunnerPort:
        gates.append(GatedPort(port))
        return gates[0]

    async def scene(system: System) -> None:
        await system.open()
        job = asyncio.ensure_future(system.submit(KEY, 500))
        await until_true(lambda: gates[0].waiting == 3)
        await withdraw(system, job)
        await asyncio.sleep(0.1)
        gates[0].opened.set()
        await asyncio.sleep(0.3)
        assert system.runner.started == []

    play(scene, System(port=gated))


def test_evacuation_lasts_until_it_is_ended() -> None:
    async def scene(system: System) -> None:
        await system.open()
        system.store.put("op/evacuate/hall", b"{}")
        await until_true(lambda: system.target.describe()["state"] == "EVACUATED")
        assert (await system.submit(KEY, 100)).status == 503
        system.store.remove("op/evacuate/hall")
        await until_true(lambda: system.target.describe()["state"] == "READY")
        assert (await system.submit(KEY, 100)).status == 200

    play(scene)


def send_and_reset(address: str, request: bytes, seconds: float) -> float:
    """Send a request and reset the connection after `seconds`; return the seconds elapsed."""
    host, _, port = address.rpartition(":")
    with socket.create_connection((host, int(port))) as connection:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        started_at = time.monotonic()
        connection.sendall(request)
        time.sleep(seconds)
    return time.monotonic() - started_at


@pytest.mark.parametrize("delay_ms", [0, 2], ids=["at_once", "on_its_way"])
def test_job_of_a_caller_that_disconnects_at_once_starts_nothing(delay_ms: int) -> None:
    """A caller whose connection breaks may send its request again at once.

    Rounds in which the caller's thread took longer than `caller_delay` are repeated.
    """

    async def scene(system: System) -> None:
        await system.open()
        await system.submit("f" * 16, 10)
        step = {"count": 3, "cpu": 1000, "mem_mb": 10, "estimated_ms": 300}
        body = json.dumps({"spec": "300", "steps": [step], "best_effort": True}).encode()
        left_in_time: set[str] = set()
        rounds = itertools.count()
        while len(left_in_time) < MIN_LEAVING_CALLERS:
            key = f"{next(rounds):016x}"
            head = (
                f"POST /q/{key} HTTP/1.1\r\nHost: 127.0.0.1\r\nContent-Length: {len(body)}\r\n\r\n"
            )
            elapsed = await asyncio.to_thread(
                send_and_reset, system.callers, head.encode() + body, delay_ms / 1000
            )
            if elapsed < system.bounds.caller_delay:
                left_in_time.add(key)
            await asyncio.sleep(0.1)
        started = {name.partition(".")[0] for name in system.runner.started}
        assert not started & left_in_time

    play(scene)

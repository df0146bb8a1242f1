"""An entry and a target as they run on the platform, between stand-ins of its runner and store."""

import asyncio
import time

import pytest
from councilsystem import BOUNDS, CONFIG, System, play, until, until_true
from paddleshunt_node.aio import earlyrequests
from paddleshunt_node.aio.httpclient import NoResponseError
from paddleshunt_node.aio.sockets import split_address

KEY = "5c0e7a21d94b36f8"


def test_a_job_runs_once_and_is_answered() -> None:
    async def scene(system: System) -> None:
        await system.open()
        answer = await system.submit(KEY, 100)
        assert (answer.status, answer.body) == (200, b'{"state":"completed"}')
        assert sorted(system.runner.started) == [f"{KEY}.0.0.{n}" for n in range(3)]

    play(scene)


def test_without_a_configuration_nothing_is_taken() -> None:
    async def scene(system: System) -> None:
        await until(system.beat)
        await asyncio.sleep(0.3)
        assert not await system.is_ready()
        answer = await system.submit(KEY, 100)
        assert (answer.status, answer.headers["retry-after"]) == (503, "1")
        assert system.runner.started == []

    play(scene)


def test_a_request_that_comes_before_the_configuration_waits_a_moment_for_it() -> None:
    """All hosts are back from a loss of power, and callers come as soon as an entry listens."""

    async def scene(system: System) -> None:
        await until(system.beat)
        job = asyncio.ensure_future(system.submit(KEY, 100))
        await asyncio.sleep(0.1)
        system.store.put("op/config", CONFIG)
        assert (await job).status == 200

    play(scene)


def test_a_leaving_entry_without_a_configuration_keeps_no_request_waiting(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(earlyrequests, "HOLD_SECONDS", 1000.0)

    async def scene(system: System) -> None:
        system.entry_around.stopping.set()
        await until_true(lambda: system.entry.describe()["leaving"] is True)
        assert (await system.submit(KEY, 100, wait=5.0)).status == 503

    play(scene)


def test_work_goes_on_while_the_store_is_down() -> None:
    async def scene(system: System) -> None:
        await system.open()
        system.store.status = 503
        await asyncio.sleep(0.5)
        assert (await system.submit(KEY, 100)).status == 200
        assert await system.is_ready()

    play(scene)


def test_a_caller_that_leaves_has_its_tasks_stopped() -> None:
    async def scene(system: System) -> None:
        await system.open()
        with pytest.raises(NoResponseError):
            await system.submit(KEY, 5000, wait=0.5)
        await until_true(lambda: len(system.runner.stopped) == 3)
        assert system.runner.tasks == {}

    play(scene)


def test_a_lost_entrys_tasks_are_stopped_before_its_caller_asks_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scene(system: System) -> None:
        await system.open()
        job = asyncio.ensure_future(system.submit(KEY, 8000))
        await until_true(lambda: len(system.runner.tasks) == 3)
        system.entry_around.cancel()
        # Nor does it answer what comes over its connections any more, old and new.
        for name in ("accept_frame", "accept_hello"):
            monkeypatch.setattr(system.entry, name, lambda *_: None)
        began = time.monotonic()
        await until_true(lambda: not system.runner.tasks)
        assert time.monotonic() - began < BOUNDS.resend
        job.cancel()

    play(scene)


def test_a_stopping_entry_is_not_ready_and_finishes_what_it_holds() -> None:
    async def scene(system: System) -> None:
        await system.open()
        job = asyncio.ensure_future(system.submit(KEY, 1000))
        await until_true(lambda: len(system.runner.tasks) == 3)
        system.entry_around.stopping.set()
        await asyncio.sleep(0.1)
        assert not await system.is_ready()
        answer = await job
        assert (answer.status, answer.headers["connection"]) == (200, "close")
        await asyncio.wait_for(system.entry_run, BOUNDS.grace)

    play(scene)


def test_a_stopping_target_lets_its_tasks_end() -> None:
    async def scene(system: System) -> None:
        await system.open()
        job = asyncio.ensure_future(system.submit(KEY, 800))
        await until_true(lambda: len(system.runner.tasks) == 3)
        system.target_around.stopping.set()
        assert (await job).status == 200
        await asyncio.wait_for(system.target_run, BOUNDS.grace)
        assert system.runner.stopped == []

    play(scene)


def test_a_stopping_entry_refuses_at_once_what_it_cannot_end() -> None:
    async def scene(system: System) -> None:
        await system.open()
        held = asyncio.ensure_future(system.submit("1" * 16, 1500))
        await until_true(lambda: len(system.runner.tasks) == 3)
        system.entry_around.stopping.set()
        await asyncio.sleep(0.1)
        began = time.monotonic()
        long = await system.submit("2" * 16, 4000)
        assert time.monotonic() - began < 0.5
        assert (long.status, long.headers["retry-after"]) == (503, "0")
        assert long.headers["connection"] == "close"
        assert (await system.submit("3" * 16, 300)).status == 200
        assert (await held).status == 200
        assert not [task for task in system.runner.started if task.startswith("2")]
        await asyncio.wait_for(system.entry_run, BOUNDS.grace)

    play(scene)


def test_a_stopping_entry_ends_kept_connections_once_it_gets_no_new_ones(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Callers must not hand in over them what it has no time to end any more."""
    monkeypatch.setattr("paddleshunt_node.aio.entryservice.BALANCER_DELAY_SECONDS", 0.2)

    async def scene(system: System) -> None:
        await system.open()
        host, port = split_address(system.callers)
        reader, writer = await asyncio.open_connection(host, port)
        writer.write(b"GET /q/ HTTP/1.1\r\nHost: host\r\n\r\n")
        await reader.readuntil(b"\r\n\r\n")
        job = asyncio.ensure_future(system.submit(KEY, 1500))
        await until_true(lambda: len(system.runner.tasks) == 3)
        system.entry_around.stopping.set()
        await asyncio.wait_for(reader.read(), 1.0)
        assert not job.done()
        writer.close()
        assert (await job).status == 200

    play(scene)

"""An entry and a target as they run on the platform, with stand-ins for runner and store."""

import asyncio
import time

import pytest
from councilsystem import BOUNDS, CONFIG, System, play, until, until_true
from paddleshunt_node.aio import earlyrequests
from paddleshunt_node.aio.httpclient import NoResponseError
from paddleshunt_node.aio.sockets import split_address

KEY = "5c0e7a21d94b36f8"


def test_job_runs_once_and_is_answered() -> None:
    async def scene(system: System) -> None:
        await system.open()
        answer = await system.submit(KEY, 100)
        assert (answer.status, answer.body) == (200, b'{"state":"completed"}')
        assert sorted(system.runner.started) == [f"{KEY}.0.0.{n}" for n in range(3)]

    play(scene)


def test_jobs_without_a_configuration_are_refused() -> None:
    async def scene(system: System) -> None:
        await until(system.beat)
        await asyncio.sleep(0.3)
        assert not await system.is_ready()
        answer = await system.submit(KEY, 100)
        assert (answer.status, answer.headers["retry-after"]) == (503, "1")
        assert system.runner.started == []

    play(scene)


def test_early_request_waits_for_the_configuration() -> None:
    """After a power loss, callers may connect before the entry has read its configuration."""

    async def scene(system: System) -> None:
        await until(system.beat)
        job = asyncio.ensure_future(system.submit(KEY, 100))
        await asyncio.sleep(0.1)
        system.store.put("op/config", CONFIG)
        assert (await job).status == 200

    play(scene)


def test_leaving_entry_holds_no_early_request(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(earlyrequests, "HOLD_SECONDS", 1000.0)

    async def scene(system: System) -> None:
        system.entry_around.stopping.set()
        await until_true(lambda: system.entry.describe()["leaving"] is True)
        assert (await system.submit(KEY, 100, wait=5.0)).status == 503

    play(scene)


def test_jobs_run_while_the_store_is_down() -> None:
    async def scene(system: System) -> None:
        await system.open()
        system.store.status = 503
        await asyncio.sleep(0.5)
        assert (await system.submit(KEY, 100)).status == 200
        assert await system.is_ready()

    play(scene)


def test_tasks_are_stopped_when_their_caller_disconnects() -> None:
    async def scene(system: System) -> None:
        await system.open()
        with pytest.raises(NoResponseError):
            await system.submit(KEY, 5000, wait=0.5)
        await until_true(lambda: len(system.runner.stopped) == 3)
        assert system.runner.tasks == {}

    play(scene)


def test_tasks_of_a_lost_entry_are_stopped_before_its_caller_retries(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scene(system: System) -> None:
        await system.open()
        job = asyncio.ensure_future(system.submit(KEY, 8000))
        await until_true(lambda: len(system.runner.tasks) == 3)
        system.entry_around.cancel()
        # The entry also ignores all that arrives over its old and new connections.
        for name in ("accept_frame", "accept_hello"):
            monkeypatch.setattr(system.entry, name, lambda *_: None)
        started_at = time.monotonic()
        await until_true(lambda: not system.runner.tasks)
        assert time.monotonic() - started_at < BOUNDS.resend
        job.cancel()

    play(scene)


def test_stopping_entry_is_not_ready_and_finishes_its_jobs() -> None:
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


def test_stopping_target_finishes_its_tasks() -> None:
    async def scene(system: System) -> None:
        await system.open()
        job = asyncio.ensure_future(system.submit(KEY, 800))
        await until_true(lambda: len(system.runner.tasks) == 3)
        system.target_around.stopping.set()
        assert (await job).status == 200
        await asyncio.wait_for(system.target_run, BOUNDS.grace)
        assert system.runner.stopped == []

    play(scene)


def test_stopping_entry_refuses_jobs_that_it_cannot_finish() -> None:
    async def scene(system: System) -> None:
        await system.open()
        running_job = asyncio.ensure_future(system.submit("1" * 16, 1500))
        await until_true(lambda: len(system.runner.tasks) == 3)
        system.entry_around.stopping.set()
        await asyncio.sleep(0.1)
        started_at = time.monotonic()
        long_job = await system.submit("2" * 16, 4000)
        assert time.monotonic() - started_at < 0.5
        assert (long_job.status, long_job.headers["retry-after"]) == (503, "0")
        assert long_job.headers["connection"] == "close"
        assert (await system.submit("3" * 16, 300)).status == 200
        assert (await running_job).status == 200
        assert not [task for task in system.runner.started if task.startswith("2")]
        await asyncio.wait_for(system.entry_run, BOUNDS.grace)

    play(scene)


def test_stopping_entry_closes_idle_connections_after_the_balancer_delay(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Callers must not submit jobs over them that the entry has no time to finish."""
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

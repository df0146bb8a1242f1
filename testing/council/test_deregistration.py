"""A runner's notice of its end is acknowledged once its runs have ended, as it may then end."""

import asyncio

import pytest
from councilsystem import System, call, play, until_true
from paddleshunt_node.aio import targetservice
from standins import RunnerStandIn

DEREGISTER = "/paddleshunt/Instances.Deregister/i-1"
KEY = "5c0e7a21d94b36f8"


async def start_long_job(system: System) -> "asyncio.Future[object]":
    """Submit a job that outlasts the test, and return the call once its tasks run."""
    await system.open()
    job = asyncio.ensure_future(system.submit(KEY, 8000))
    await until_true(lambda: len(system.runner.tasks) == 3)
    return job


def test_deregistration_is_acknowledged_once_the_runs_have_ended() -> None:
    async def scene(system: System) -> None:
        job = await start_long_job(system)
        assert (await call(system.registration, "POST", DEREGISTER)).status == 200
        assert system.runner.tasks == {}
        assert len(system.runner.stopped) == 3
        job.cancel()

    play(scene)


def test_deregistration_is_acknowledged_after_a_while_though_runs_go_on(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(targetservice, "DEREGISTRATION_HOLD_SECONDS", 0.05)

    async def scene(system: System) -> None:
        job = await start_long_job(system)
        answer = RunnerStandIn.answer

        def unanswered_stops(
            path: str, asked: dict[str, object], headers: dict[str, str]
        ) -> tuple[int, object] | None:
            return (
                None if path.endswith("/run-stop") else answer(system.runner, path, asked, headers)
            )

        monkeypatch.setattr(system.runner, "answer", unanswered_stops)
        assert (await call(system.registration, "POST", DEREGISTER)).status == 200
        assert system.target.describe()["runs"] == 3
        job.cancel()

    play(scene)


def test_runner_without_runs_is_replaced_at_once() -> None:
    async def scene(system: System) -> None:
        await system.open()
        assert (await call(system.registration, "POST", DEREGISTER)).status == 200
        assert system.target.describe()["runner"] == ""

    play(scene)

"""Calls to the runner, against its stand-in."""

import asyncio
from collections.abc import Awaitable, Callable

import pytest
from paddleshunt_core.leased.orders import (
    FinishedRun,
    Look,
    LookAnswer,
    RunEnd,
    RunningRun,
    StartAnswer,
    StartRun,
    StopRun,
)
from paddleshunt_core.leased.wire import RunId, TaskId
from paddleshunt_council.runner import Runner
from paddleshunt_node.aio.ports import OtherLife, Superseded
from standins import RunnerStandIn

RUN = RunId(TaskId("5c0e7a21d94b36f8", 0, 7), 2)
NAME = "5c0e7a21d94b36f8.0.0.7"
FIRST_LOOK = Look(0, None, 0.0)
START = StartRun(RUN, "spec", 0.5, "e", 0.0)


def play(scene: Callable[[Runner, RunnerStandIn], Awaitable[None]]) -> None:
    async def run() -> None:
        standin = RunnerStandIn()
        await standin.start()
        await scene(Runner(standin.address), standin)

    asyncio.run(asyncio.wait_for(run(), 20))


def test_nothing_is_started_before_the_clock_is_known() -> None:
    async def scene(runner: Runner, standin: RunnerStandIn) -> None:
        assert await runner.start(START) is StartAnswer.NOT_SENT
        assert standin.calls == []

    play(scene)


def test_a_start_carries_name_token_and_a_deadline_on_the_runners_clock() -> None:
    async def scene(runner: Runner, standin: RunnerStandIn) -> None:
        await runner.look(FIRST_LOOK)
        assert await runner.start(START) is StartAnswer.STARTED
        path, asked = standin.calls[-1]
        assert path == "/paddleshunt/run-start"
        assert (asked["task"], asked["run"], asked["spec"]) == (NAME, 2, "spec")
        assert asked["fencing_token"] == 5000
        assert 5500 <= int(str(asked["deadline_ms"])) < 6500

    play(scene)


@pytest.mark.parametrize(
    ("status", "reason", "answer"),
    [
        (409, "room", StartAnswer.NO_ROOM),
        (409, "old", StartAnswer.STALE),
        (409, "late", StartAnswer.LATE),
        (409, "fence", StartAnswer.FENCED),
        (429, "", StartAnswer.UNHEALTHY),
        (503, "", StartAnswer.UNHEALTHY),
        (400, "", StartAnswer.INVALID),
    ],
)
def test_answers_to_a_start(status: int, reason: str, answer: StartAnswer) -> None:
    async def scene(runner: Runner, standin: RunnerStandIn) -> None:
        await runner.look(FIRST_LOOK)
        standin.status, standin.reason = status, reason
        assert await runner.start(START) is answer

    play(scene)


def test_a_start_without_an_answer_is_unknown() -> None:
    async def scene(runner: Runner, standin: RunnerStandIn) -> None:
        await runner.look(FIRST_LOOK)
        standin.silent = True
        assert await runner.start(START) is StartAnswer.UNKNOWN
        assert not await runner.stop(StopRun(RUN))
        assert await runner.look(FIRST_LOOK) is None

    play(scene)


def test_a_look_reads_both_lists() -> None:
    async def scene(runner: Runner, standin: RunnerStandIn) -> None:
        standin.running = [[NAME, 2, "", 41, 3], ["other", 1, "", 0, 0]]
        standin.finished = [[58, NAME, 1, "done", ""], [59, NAME, 1, "lapsed", ""]]
        answer = await runner.look(Look(57, None, 0.0))
        assert isinstance(answer, LookAnswer)
        assert answer.running == [RunningRun(RUN, 41)]
        first = RunId(RUN.task, 1)
        assert answer.finished == [
            FinishedRun(58, first, RunEnd.DONE),
            FinishedRun(59, first, RunEnd.LAPSED),
        ]
        assert standin.calls[-1][1]["last_seen"] == 57

    play(scene)


def test_another_life_is_told_apart() -> None:
    async def scene(runner: Runner, standin: RunnerStandIn) -> None:
        runner.expect("i-1")
        assert isinstance(await runner.look(FIRST_LOOK), LookAnswer)
        standin.life = "i-2"
        assert isinstance(await runner.look(FIRST_LOOK), OtherLife)
        assert await runner.start(START) is StartAnswer.OTHER_LIFE

    play(scene)


def test_a_new_life_has_a_clock_of_its_own() -> None:
    async def scene(runner: Runner, standin: RunnerStandIn) -> None:
        await runner.look(FIRST_LOOK)
        runner.expect("i-2")
        assert await runner.start(START) is StartAnswer.NOT_SENT

    play(scene)


@pytest.mark.parametrize("silent", [False, True], ids=["answered", "unanswered"])
def test_a_look_says_nothing_once_another_life_is_meant(silent: bool) -> None:
    async def scene(runner: Runner, standin: RunnerStandIn) -> None:
        standin.silent = silent
        look = asyncio.ensure_future(runner.look(FIRST_LOOK))
        await asyncio.sleep(0)
        runner.expect("i-1")
        assert await look == Superseded()

    play(scene)

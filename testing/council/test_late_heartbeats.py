"""Heartbeats that were held back until their sender had crashed and another life had registered."""

import asyncio
import json

import pytest
from councilsystem import BEAT, System, call, play, until, until_true
from paddleshunt_core.leased.incarnations import HeartbeatClass
from paddleshunt_core.leased.orders import RunnerStatus
from paddleshunt_core.leased.resources import Resources
from paddleshunt_core.leased.runnerincarnation import RunnerIncarnation

KEY = "5c0e7a21d94b36f8"
HEARTBEAT = "/paddleshunt/Instances.Heartbeat/"


async def beat(system: System, runner: str, *, expected: int = 200, **fields: object) -> None:
    body = json.dumps({**json.loads(BEAT), **fields}).encode()
    answer = await call(system.registration, "POST", HEARTBEAT + runner, body)
    assert answer.status == expected


def of_next(sequence: int) -> RunnerStatus:
    return RunnerStatus(
        RunnerIncarnation("i-2"), "svc", "hall", Resources(), False, None, sequence=sequence
    )


async def in_second_life(system: System) -> None:
    """Let the runner crash and come back as `i-2`."""
    await system.open()
    system.runner.life = "i-2"
    await beat(system, "i-2", sequence=3)
    await until_true(lambda: system.target.describe()["runner"] == "i-2")
    await until(system.is_ready)


@pytest.mark.parametrize(
    ("runner", "fields", "answered"),
    [
        ("i-1", {"sequence": 9}, 200),
        ("i-0", {"sequence": 9}, 200),
        ("i-2", {"sequence": 2, "state": "draining"}, 503),
        ("i-2", {"sequence": 2, "capacity": {"cpu": 1, "mem_mb": 1, "gpu": 0}}, 200),
    ],
    ids=["life_before", "unknown_life", "earlier_draining", "earlier_room"],
)
def test_a_late_heartbeat_stops_no_run_and_changes_no_room(
    runner: str, fields: dict[str, object], answered: int
) -> None:
    async def scene(system: System) -> None:
        await in_second_life(system)
        before = system.target.describe()
        job = asyncio.ensure_future(system.submit(KEY, 600))
        await until_true(lambda: len(system.runner.tasks) == 3)
        await beat(system, runner, expected=answered, **fields)
        assert (await job).status == 200
        after = system.target.describe()
        shown = ("runner", "state", "free", "sessions")
        assert [after[name] for name in shown] == [before[name] for name in shown]
        assert system.runner.stopped == []
        assert len(system.runner.started) == 3

    play(scene)


def test_a_late_word_of_an_end_is_not_taken_for_the_present_life() -> None:
    async def scene(system: System) -> None:
        await in_second_life(system)
        path = "/paddleshunt/Instances.Deregister/i-1"
        assert (await call(system.registration, "POST", path)).status == 200
        assert system.target.describe()["runner"] == "i-2"
        assert (await system.submit(KEY, 100)).status == 200

    play(scene)


def test_a_life_that_was_denied_is_followed_with_what_it_has_said_since() -> None:
    async def scene(system: System) -> None:
        await system.open()
        await beat(system, "i-2", sequence=1)
        await until_true(lambda: system.target._worker.classify(of_next(2)) is HeartbeatClass.LATE)
        await beat(system, "i-2", sequence=3, state="draining")
        await beat(system, "i-2", sequence=2)
        system.runner.life = "i-2"
        await until_true(lambda: system.target.describe()["runner"] == "i-2")
        assert system.target.describe()["state"] == "LEAVING"

    play(scene)


def test_a_life_that_could_not_be_asked_is_followed_once_the_known_one_has_ended() -> None:
    async def scene(system: System) -> None:
        await system.open()
        system.runner.silent = True
        await beat(system, "i-2", sequence=1)
        await asyncio.sleep(0.3)
        assert system.target.describe()["runner"] == "i-1"
        system.runner.life = "i-2"
        system.runner.silent = False
        await until_true(lambda: system.target.describe()["runner"] == "i-2")
        assert (await system.submit(KEY, 100)).status == 200

    play(scene)

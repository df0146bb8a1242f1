"""Heartbeats that arrive after their sender crashed and another incarnation registered."""

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


async def send_heartbeat(
    system: System, runner: str, *, expected: int = 200, **fields: object
) -> None:
    body = json.dumps({**json.loads(BEAT), **fields}).encode()
    answer = await call(system.registration, "POST", HEARTBEAT + runner, body)
    assert answer.status == expected


def status_of_i_2(sequence: int) -> RunnerStatus:
    return RunnerStatus(
        RunnerIncarnation("i-2"), "svc", "hall", Resources(), False, None, sequence=sequence
    )


async def start_second_incarnation(system: System) -> None:
    """Replace the runner by the incarnation `i-2`, and wait for the target to follow it."""
    await system.open()
    system.runner.life = "i-2"
    await send_heartbeat(system, "i-2", sequence=3)
    await until_true(lambda: system.target.describe()["runner"] == "i-2")
    await until(system.is_ready)


@pytest.mark.parametrize(
    ("runner", "fields", "status"),
    [
        ("i-1", {"sequence": 9}, 200),
        ("i-0", {"sequence": 9}, 200),
        ("i-2", {"sequence": 2, "state": "draining"}, 503),
        ("i-2", {"sequence": 2, "capacity": {"cpu": 1, "mem_mb": 1, "gpu": 0}}, 200),
    ],
    ids=["previous_incarnation", "unknown_incarnation", "earlier_draining", "earlier_capacity"],
)
def test_late_heartbeat_stops_no_run_and_changes_no_capacity(
    runner: str, fields: dict[str, object], status: int
) -> None:
    async def scene(system: System) -> None:
        await start_second_incarnation(system)
        before = system.target.describe()
        job = asyncio.ensure_future(system.submit(KEY, 600))
        await until_true(lambda: len(system.runner.tasks) == 3)
        await send_heartbeat(system, runner, expected=status, **fields)
        assert (await job).status == 200
        after = system.target.describe()
        compared = ("runner", "state", "free", "sessions")
        assert [after[name] for name in compared] == [before[name] for name in compared]
        assert system.runner.stopped == []
        assert len(system.runner.started) == 3

    play(scene)


def test_late_deregistration_does_not_end_the_current_incarnation() -> None:
    async def scene(system: System) -> None:
        await start_second_incarnation(system)
        path = "/paddleshunt/Instances.Deregister/i-1"
        assert (await call(system.registration, "POST", path)).status == 200
        assert system.target.describe()["runner"] == "i-2"
        assert (await system.submit(KEY, 100)).status == 200

    play(scene)


def test_denied_incarnation_is_followed_later_with_its_latest_status() -> None:
    async def scene(system: System) -> None:
        await system.open()
        await send_heartbeat(system, "i-2", sequence=1)
        await until_true(
            lambda: system.target._worker.classify(status_of_i_2(2)) is HeartbeatClass.LATE
        )
        await send_heartbeat(system, "i-2", sequence=3, state="draining")
        await send_heartbeat(system, "i-2", sequence=2)
        system.runner.life = "i-2"
        await until_true(lambda: system.target.describe()["runner"] == "i-2")
        assert system.target.describe()["state"] == "LEAVING"

    play(scene)


def test_unanswered_incarnation_is_followed_once_the_current_one_has_ended() -> None:
    async def scene(system: System) -> None:
        await system.open()
        system.runner.silent = True
        await send_heartbeat(system, "i-2", sequence=1)
        await asyncio.sleep(0.3)
        assert system.target.describe()["runner"] == "i-1"
        system.runner.life = "i-2"
        system.runner.silent = False
        await until_true(lambda: system.target.describe()["runner"] == "i-2")
        assert (await system.submit(KEY, 100)).status == 200

    play(scene)

"""A runner is replaced on its host: the new one registers while the old one drains."""

import asyncio
import json

from councilsystem import BEAT, System, call, play, until_true

HEARTBEAT = "/paddleshunt/Instances.Heartbeat/"
DEREGISTER = "/paddleshunt/Instances.Deregister/"


async def send_heartbeat(system: System, runner: str, **fields: object) -> None:
    body = json.dumps({**json.loads(BEAT), **fields}).encode()
    assert (await call(system.registration, "POST", HEARTBEAT + runner, body)).status == 200


def test_new_runner_is_followed_once_the_draining_one_has_ended() -> None:
    async def scene(system: System) -> None:
        await system.open()
        job = asyncio.ensure_future(system.submit("5c0e7a21d94b36f8", 600))
        await until_true(lambda: len(system.runner.tasks) == 3)
        # The old runner still answers at the address, with its own id.
        await send_heartbeat(system, "i-2", sequence=1)
        await asyncio.sleep(0.1)
        assert system.target.describe()["runner"] == "i-1"
        await send_heartbeat(system, "i-1", sequence=9, state="draining")
        await send_heartbeat(system, "i-2", sequence=2)
        assert (await job).status == 200
        assert system.runner.stopped == []
        assert len(system.runner.started) == 3
        path = DEREGISTER + "i-1"
        assert (await call(system.registration, "POST", path)).status == 200
        system.runner.life = "i-2"
        await send_heartbeat(system, "i-2", sequence=3)
        await until_true(lambda: system.target.describe()["runner"] == "i-2")
        await until_true(lambda: system.target.describe()["state"] == "READY")
        assert (await system.submit("5c0e7a21d94b36f9", 100)).status == 200

    play(scene)


def test_draining_runner_gets_no_task() -> None:
    async def scene(system: System) -> None:
        await system.open()
        await send_heartbeat(system, "i-1", sequence=9, state="draining")
        answer = await system.submit("5c0e7a21d94b36f8", 100)
        assert answer.status == 503
        assert system.runner.started == []

    play(scene)

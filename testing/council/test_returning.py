"""A runner that restarts under its id is a new incarnation, which restarts its numbering.

Taken for the old one, its heartbeats would be ignored as late and the ends that it lists as known.
"""

import asyncio
import json
import time

from councilsystem import BEAT, BOUNDS, System, call, play, until, until_true

HEARTBEAT = "/paddleshunt/Instances.Heartbeat/i-1"
BORN = 1_764_734_759_000
JOBS_BEFORE = 5


async def send_heartbeat(system: System, **fields: object) -> int:
    """Send a heartbeat as the runner; return the answer's status."""
    body = {**json.loads(BEAT), "born": system.runner.born, **fields}
    return (await call(system.registration, "POST", HEARTBEAT, json.dumps(body).encode())).status


RESTARTS = [BORN + 20_000, BORN - 1500]
"""Start times (ms) of the later incarnations; the last one after its host's clock was set back."""


async def run_first_incarnation(system: System) -> None:
    """Start the system and let the runner complete some jobs."""
    system.runner.born = BORN
    await system.open()
    await send_heartbeat(system, sequence=9)
    for number in range(JOBS_BEFORE):
        assert (await system.submit(f"{number:016x}", 100)).status == 200


async def restart_runner(system: System, born: int) -> None:
    """Let the runner crash, restart under its id and register."""
    system.runner.come_back(born)
    assert await send_heartbeat(system, sequence=1) == 200


def test_restarted_runner_that_leaves_gets_no_new_work() -> None:
    async def scene(system: System) -> None:
        await run_first_incarnation(system)
        for number, born in enumerate(RESTARTS):
            await restart_runner(system, born)
            assert await send_heartbeat(system, sequence=2, state="draining") == 200
            acknowledged = time.monotonic()
            while system.target.describe()["state"] != "LEAVING":
                if time.monotonic() > acknowledged + BOUNDS.drain:
                    break
                await asyncio.sleep(0.02)
            before = len(system.runner.started)
            await system.submit(f"f{number:015x}", 100)
            assert len(system.runner.started) == before

    play(scene)


def test_restarted_runner_runs_each_task_once() -> None:
    async def scene(system: System) -> None:
        await run_first_incarnation(system)
        for number, born in enumerate(RESTARTS):
            await restart_runner(system, born)
            await until(system.is_ready)
            before = len(system.runner.started)
            assert (await system.submit(f"f{number:015x}", 100)).status == 200
            assert len(system.runner.started) == before + 3

    play(scene)


def test_first_incarnation_with_a_start_time_gets_a_higher_token() -> None:
    async def scene(system: System) -> None:
        await system.open()
        assert (await system.submit(f"{1:016x}", 100)).status == 200
        last = system.runner.fence
        await restart_runner(system, BORN)
        incarnation = f"i-1@{BORN}"
        await until_true(lambda: system.target.describe()["runner"] == incarnation)
        assert (await system.submit(f"{2:016x}", 100)).status == 200
        assert system.runner.fence > last

    play(scene)

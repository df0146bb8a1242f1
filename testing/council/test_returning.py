"""A runner starts again under the id that it had: another life, which knows nothing of before.

Seen: a target acknowledged that its runner leaves, and 2 s later still gave it work; elsewhere runs
that had been done were told as lost and were done again. Each time the runner had crashed some
seconds before and had started again under its id.

How it came about: the target took the id for the life. The new life counts its heartbeats from one,
so all that it said was late, that it leaves as well, until it had said as much as the last one; and
the ends that it listed were acknowledged unread up to the number that the last one had reached.

Proof: the target's lines had `heartbeat_late` for each heartbeat from the start on, one with the
word that it leaves among them, and neither `runner_replaced` nor `runner_leaving`.

Cause: an identity that was none. A life is its id and its start now, and the runner's own lists say
which life is there; clocks order nothing, as the second return here, with a clock set back, shows.
"""

import asyncio
import json
import time

from councilsystem import BEAT, BOUNDS, System, call, play, until, until_true

HEARTBEAT = "/paddleshunt/Instances.Heartbeat/i-1"
BORN = 1_764_734_759_000
JOBS_BEFORE = 5


async def say(system: System, **fields: object) -> int:
    """Have the runner send a heartbeat; return the answer's status."""
    told = {**json.loads(BEAT), "born": system.runner.born, **fields}
    return (await call(system.registration, "POST", HEARTBEAT, json.dumps(told).encode())).status


LIVES = [BORN + 20_000, BORN - 1500]
"""When the lives after the first started: the last one as its host's clock had been set back."""


async def in_first_life(system: System) -> None:
    """Let the runner do some work."""
    system.runner.born = BORN
    await system.open()
    await say(system, sequence=9)
    for number in range(JOBS_BEFORE):
        assert (await system.submit(f"{number:016x}", 100)).status == 200


async def come_back(system: System, born: int) -> None:
    """Let the runner crash, start again under its id and register."""
    system.runner.come_back(born)
    assert await say(system, sequence=1) == 200


def test_one_that_comes_back_and_leaves_gets_no_new_work() -> None:
    async def scene(system: System) -> None:
        await in_first_life(system)
        for number, born in enumerate(LIVES):
            await come_back(system, born)
            assert await say(system, sequence=2, state="draining") == 200
            acknowledged = time.monotonic()
            while system.target.describe()["state"] != "LEAVING":
                if time.monotonic() > acknowledged + BOUNDS.drain:
                    break
                await asyncio.sleep(0.02)
            before = len(system.runner.started)
            await system.submit(f"f{number:015x}", 100)
            assert len(system.runner.started) == before

    play(scene)


def test_one_that_comes_back_does_each_task_once() -> None:
    async def scene(system: System) -> None:
        await in_first_life(system)
        for number, born in enumerate(LIVES):
            await come_back(system, born)
            await until(system.is_ready)
            before = len(system.runner.started)
            assert (await system.submit(f"f{number:015x}", 100)).status == 200
            assert len(system.runner.started) == before + 3

    play(scene)


def test_one_that_tells_its_start_only_now_refuses_what_the_last_life_was_ordered() -> None:
    async def scene(system: System) -> None:
        await system.open()
        assert (await system.submit(f"{1:016x}", 100)).status == 200
        last = system.runner.fence
        await come_back(system, BORN)
        life = f"i-1@{BORN}"
        await until_true(lambda: system.target.describe()["runner"] == life)
        assert (await system.submit(f"{2:016x}", 100)).status == 200
        assert system.runner.fence > last

    play(scene)

"""A runner's word that it leaves is acknowledged only if it is followed, or kept for later.

Seen: a word that a runner leaves was answered as taken note of, and its target went on giving it
work; in the soak another writer's heartbeat, numbered 1,000 ahead, had made all its own seem late.

How it came about: each heartbeat was answered alike, also one that was passed over; and a number up
to 1,000 ahead of the last was followed at once.

Proof: after such a heartbeat the target's lines had `heartbeat_late` with the word that it leaves.

Cause: the acknowledgement spoke of what was received, not of what was done. A runner that gets none
says it again, with the next number.
"""

import json

import pytest
from councilsystem import BEAT, System, call, play, until_true
from paddleshunt_core.leased.incarnations import MAX_SEQUENCE_GAP

HEARTBEAT = "/paddleshunt/Instances.Heartbeat/"


async def say(system: System, sequence: int, runner: str = "i-1", **fields: object) -> int:
    """Have a heartbeat come in the runner's name; return the answer's status."""
    body = json.dumps({**json.loads(BEAT), "sequence": sequence, **fields}).encode()
    return (await call(system.registration, "POST", HEARTBEAT + runner, body)).status


@pytest.mark.parametrize("ahead", [MAX_SEQUENCE_GAP, 1000, 2**40], ids=["near", "far", "farther"])
def test_one_that_leaves_gets_no_new_work_once_it_is_told_so(ahead: int) -> None:
    async def scene(system: System) -> None:
        await system.open()
        assert await say(system, 5) == 200
        assert await say(system, 5 + ahead) == 200
        sequence = 6
        while await say(system, sequence, state="draining") != 200:
            sequence += 1
        assert sequence <= 6 + MAX_SEQUENCE_GAP
        assert system.target.describe()["state"] == "LEAVING"

    play(scene)


def test_a_late_word_that_it_leaves_is_not_acknowledged() -> None:
    async def scene(system: System) -> None:
        await system.open()
        assert await say(system, 5) == 200
        assert await say(system, 4, state="draining") == 503
        assert await say(system, 4) == 200
        assert system.target.describe()["state"] == "READY"

    play(scene)


def test_an_older_word_of_a_life_that_is_yet_to_come_takes_no_newer_one_back() -> None:
    """What was acknowledged is in force once the life is followed."""

    async def scene(system: System) -> None:
        await system.open()
        system.runner.silent = True
        assert await say(system, 2, "i-2", state="draining") == 200
        assert await say(system, 1, "i-2") == 200
        system.runner.life = "i-2"
        system.runner.silent = False
        await until_true(lambda: system.target.describe()["runner"] == "i-2")
        assert system.target.describe()["state"] == "LEAVING"

    play(scene)

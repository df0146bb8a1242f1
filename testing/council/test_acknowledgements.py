"""A heartbeat is acknowledged only if it was applied or is kept to be applied later.

An unacknowledged runner sends its state again, so a target can't miss that the runner leaves.
"""

import json

import pytest
from councilsystem import BEAT, System, call, play, until_true
from paddleshunt_core.leased.incarnations import MAX_SEQUENCE_GAP

HEARTBEAT = "/paddleshunt/Instances.Heartbeat/"


async def send_heartbeat(
    system: System, sequence: int, runner: str = "i-1", **fields: object
) -> int:
    """Send a heartbeat as the runner; return the answer's status."""
    body = json.dumps({**json.loads(BEAT), "sequence": sequence, **fields}).encode()
    return (await call(system.registration, "POST", HEARTBEAT + runner, body)).status


@pytest.mark.parametrize("ahead", [MAX_SEQUENCE_GAP, 1000, 2**40], ids=["near", "far", "farther"])
def test_acknowledged_draining_makes_the_target_leave(ahead: int) -> None:
    async def scene(system: System) -> None:
        await system.open()
        assert await send_heartbeat(system, 5) == 200
        assert await send_heartbeat(system, 5 + ahead) == 200
        sequence = 6
        while await send_heartbeat(system, sequence, state="draining") != 200:
            sequence += 1
        assert sequence <= 6 + MAX_SEQUENCE_GAP
        assert system.target.describe()["state"] == "LEAVING"

    play(scene)


def test_late_draining_heartbeat_is_not_acknowledged() -> None:
    async def scene(system: System) -> None:
        await system.open()
        assert await send_heartbeat(system, 5) == 200
        assert await send_heartbeat(system, 4, state="draining") == 503
        assert await send_heartbeat(system, 4) == 200
        assert system.target.describe()["state"] == "READY"

    play(scene)


def test_older_heartbeat_of_an_unconfirmed_incarnation_does_not_undo_a_newer_one() -> None:
    """An acknowledged heartbeat applies once its incarnation is confirmed."""

    async def scene(system: System) -> None:
        await system.open()
        system.runner.silent = True
        assert await send_heartbeat(system, 2, "i-2", state="draining") == 200
        assert await send_heartbeat(system, 1, "i-2") == 200
        system.runner.life = "i-2"
        system.runner.silent = False
        await until_true(lambda: system.target.describe()["runner"] == "i-2")
        assert system.target.describe()["state"] == "LEAVING"

    play(scene)

"""A host that is suspended: its steady clock does not count the time, all others' clocks do."""

import asyncio
from collections.abc import Callable

import pytest
from councilsystem import System, play, until_true
from paddleshunt_core.leased.bounds import Bounds, lease_times
from paddleshunt_node.aio import clock

BOUNDS = Bounds()
KEY = "5c0e7a21d94b36f8"
NOT_KNOWN = 504
"""What a caller is answered whose job's tasks may have run."""


@pytest.fixture
def suspend(monkeypatch: pytest.MonkeyPatch) -> Callable[[float], None]:
    """Let the clock that decides jump, as after a suspension of so many seconds."""
    read = clock.now

    def jump(seconds: float) -> None:
        monkeypatch.setattr(clock, "now", lambda: read() + seconds)

    return jump


@pytest.mark.parametrize("seconds", [1.0, 4.0, 10.0])
def test_what_was_held_before_a_suspension_is_given_up_and_stopped_after_it(
    seconds: float, suspend: Callable[[float], None]
) -> None:
    """Callers have gone elsewhere meanwhile: nothing of theirs may start, or go on for long."""

    async def scene(system: System) -> None:
        await system.open()
        job = asyncio.ensure_future(system.submit(KEY, 2000))
        await until_true(lambda: len(system.runner.tasks) == 3)
        suspend(seconds)
        assert (await job).status == NOT_KNOWN
        await until_true(lambda: not system.runner.tasks)
        assert sorted(set(system.runner.stopped)) == sorted(set(system.runner.started))
        assert len(system.runner.started) == 3

    play(scene, System(BOUNDS))


def test_a_short_suspension_ends_nothing(suspend: Callable[[float], None]) -> None:
    async def scene(system: System) -> None:
        await system.open()
        job = asyncio.ensure_future(system.submit(KEY, 900))
        await until_true(lambda: len(system.runner.tasks) == 3)
        suspend(lease_times(system.bounds).session / 4)
        assert (await job).status == 200
        assert system.runner.stopped == []

    play(scene)

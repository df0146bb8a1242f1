"""Suspension of a host, during which its steady clock stops while those of others go on."""

import asyncio
from collections.abc import Callable

import pytest
from councilsystem import System, play, until_true
from paddleshunt_core.leased.bounds import Bounds, lease_times
from paddleshunt_node.aio import clock

BOUNDS = Bounds()
KEY = "5c0e7a21d94b36f8"
UNKNOWN_OUTCOME_STATUS = 504
"""Status of a job whose outcome is unknown, as its tasks may have run."""


@pytest.fixture
def suspend(monkeypatch: pytest.MonkeyPatch) -> Callable[[float], None]:
    """Return a function that advances the clock of decisions as a suspension does."""
    read = clock.now

    def jump(seconds: float) -> None:
        monkeypatch.setattr(clock, "now", lambda: read() + seconds)

    return jump


@pytest.mark.parametrize("seconds", [1.0, 4.0, 10.0])
def test_long_suspension_gives_up_jobs_and_stops_their_runs(
    seconds: float, suspend: Callable[[float], None]
) -> None:
    """Callers have retried elsewhere meanwhile, so their tasks must neither start nor go on."""

    async def scene(system: System) -> None:
        await system.open()
        job = asyncio.ensure_future(system.submit(KEY, 2000))
        await until_true(lambda: len(system.runner.tasks) == 3)
        suspend(seconds)
        assert (await job).status == UNKNOWN_OUTCOME_STATUS
        await until_true(lambda: not system.runner.tasks)
        assert sorted(set(system.runner.stopped)) == sorted(set(system.runner.started))
        assert len(system.runner.started) == 3

    play(scene, System(BOUNDS))


def test_short_suspension_stops_no_run(suspend: Callable[[float], None]) -> None:
    async def scene(system: System) -> None:
        await system.open()
        job = asyncio.ensure_future(system.submit(KEY, 900))
        await until_true(lambda: len(system.runner.tasks) == 3)
        suspend(lease_times(system.bounds).session / 4)
        assert (await job).status == 200
        assert system.runner.stopped == []

    play(scene)

"""The real programs while callers cancel jobs and a process stands still.

Guards against a cancellation that is acknowledged though tasks of the job start or go on (UNASKED).
"""

import asyncio
import signal
from collections.abc import Iterable
from dataclasses import dataclass, field
from pathlib import Path
from random import Random

import pytest
from deployment import Deployment, Process, deployed
from record import Record, RunSeen
from soakcallers import Callers

CANCEL_SECONDS = 3.0
"""Seconds after the acknowledgement from which no task of the job may start."""

STOP_SECONDS = 0.05
"""Seconds from then until none may be at work."""

RUNNERS = 2
TASK_SECONDS = 7.0
"""Longer than `CANCEL_SECONDS`, so that a task that is not stopped is at work too long."""

FILL = {"count": RUNNERS, "length": TASK_SECONDS, "deadline": 30.0, "need": 8000}
"""A job whose tasks fill all runners."""

SMALL = {"count": 4, "length": TASK_SECONDS, "deadline": 30.0}
NEXT = {"count": RUNNERS, "length": 0.2, "deadline": 30.0, "need": 8000}
NEXT_SECONDS = 1.0
"""Seconds in which the next job starts once the one that filled all runners is cancelled."""


@dataclass
class Scene:
    """Jobs of one deployment, with the times at which their cancellations were acknowledged."""

    deployment: Deployment
    callers: Callers
    record: Record
    cancelled: dict[str, float] = field(default_factory=dict)

    def holder(self, key: str) -> Process:
        return self.deployment.processes[self.record.tries[key][-1].entry]

    def other(self, key: str) -> Process:
        return next(e for e in self.deployment.entries if e is not self.holder(key))

    async def cancel(self, key: str, entry: Process) -> None:
        self.cancelled[key] = await self.callers.cancel(key, entry)

    def violations(self) -> list[str]:
        """Return the runs of cancelled jobs that began or went on for too long."""
        found = []
        for key, at in self.cancelled.items():
            for run in self.runs(key):
                begin, end = run.began - at, (run.end or float("inf")) - at
                if begin > CANCEL_SECONDS or end > CANCEL_SECONDS + STOP_SECONDS:
                    found.append(f"{run.task}: {run.describe(at)}")
        return found

    def runs(self, key: str) -> list[RunSeen]:
        return [
            run for task, runs in self.record.runs.items() if task.startswith(key) for run in runs
        ]


async def stand_still(processes: Iterable[Process], seconds: float) -> None:
    processes = list(processes)
    for process in processes:
        process.send(signal.SIGSTOP)
    await asyncio.sleep(seconds)
    for process in processes:
        process.send(signal.SIGCONT)


async def cancel_what_fills_all_runners(scene: Scene) -> None:
    """Cancel at the other entry; a cancelled job that waits never starts, and the next does."""
    first = scene.callers.submit(**FILL, leaves=False)
    await asyncio.sleep(0.5)
    waiting = scene.callers.submit(**FILL, leaves=False)
    await asyncio.sleep(0.2)
    assert len(scene.runs(first)) == RUNNERS
    await scene.cancel(waiting, scene.other(waiting))
    await scene.cancel(first, scene.other(first))
    following = scene.callers.submit(**NEXT, leaves=False)
    await scene.callers.finish()
    assert scene.runs(waiting) == []
    begins = [run.began - scene.cancelled[first] for run in scene.runs(following)]
    assert max(begins) < NEXT_SECONDS


async def cancel_right_after_submission(scene: Scene) -> None:
    for number in range(12):
        key = scene.callers.submit(**SMALL, leaves=False)
        await asyncio.sleep(0.002 * (number % 2))
        await scene.cancel(key, scene.deployment.entries[number % 2])
    await scene.callers.finish()


async def cancel_while_targets_stand_still(scene: Scene) -> None:
    for seconds in (0.36, 1.4):
        for wait in (0.01, 0.3):
            key = scene.callers.submit(**SMALL, leaves=False)
            await asyncio.sleep(wait)
            still = asyncio.ensure_future(stand_still(scene.deployment.targets, seconds))
            await asyncio.sleep(0.02)
            await scene.cancel(key, scene.other(key))
            await still
            await asyncio.sleep(0.5)


async def cancel_while_the_holder_stands_still(scene: Scene) -> None:
    """Until it goes on, the other entry can't know what it holds, and must not acknowledge."""
    for seconds in (0.3, 1.4):
        key = scene.callers.submit(**SMALL, leaves=False)
        await asyncio.sleep(0.5)
        still = asyncio.ensure_future(stand_still([scene.holder(key)], seconds))
        await asyncio.sleep(0.02)
        await scene.cancel(key, scene.other(key))
        assert still.done() or seconds < 0.5
        await still
        await asyncio.sleep(0.5)


async def play(folder: Path) -> Scene:
    record = Record()
    rng = Random("cancelling")
    async with deployed(Deployment(folder, record, rng), 2, RUNNERS) as deployment:
        scene = Scene(deployment, Callers(deployment, record, rng, leaving=0.0), record)
        await cancel_what_fills_all_runners(scene)
        await cancel_right_after_submission(scene)
        await cancel_while_targets_stand_still(scene)
        await cancel_while_the_holder_stands_still(scene)
        await scene.callers.finish()
        await asyncio.sleep(CANCEL_SECONDS + STOP_SECONDS)
        await scene.callers.leave()
    record.finish()
    return scene


@pytest.mark.timeout(120)
def test_tasks_of_cancelled_jobs_are_stopped_and_start_no_more(tmp_path: Path) -> None:
    scene = asyncio.run(play(tmp_path))
    assert scene.violations() == []
    assert [v.text for v in scene.record.violations] == []

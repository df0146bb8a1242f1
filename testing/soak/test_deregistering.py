"""The real programs while runners that leave are up for seconds after their last notice.

Guards against a run that is taken for ended on that notice: its task would run twice at once.
"""

import asyncio
import signal
from pathlib import Path
from random import Random

import pytest
from deployment import Deployment, deployed
from record import Record
from soakcallers import Callers

RUNNERS = 4
LEAVING = 2
JOBS = 10
TASK_SECONDS = 6.0
"""Longer than a runner drains, so that runs are left when it gives notice."""

FROZEN_SECONDS = 0.36
"""Seconds for which a target stands still right after the notice; shorter than a session."""


async def scene(folder: Path, *, frozen: bool) -> Record:
    record = Record()
    deployment = Deployment(folder, record, Random("deregistering"))
    async with deployed(deployment, 2, RUNNERS):
        callers = Callers(deployment, record, Random("callers"), leaving=0.0)
        for _ in range(JOBS):
            callers.submit(2, TASK_SECONDS, deadline=25.0)
        await asyncio.sleep(1.0)
        busy = sorted(deployment.runners.values(), key=lambda runner: -len(runner.running))
        leaving = busy[:LEAVING]
        noticed = asyncio.Event()
        for runner in leaving:
            runner.on_notice = noticed.set
        ends = [
            asyncio.ensure_future(runner.leave(0.2, loses_acknowledgement=True))
            for runner in leaving
        ]
        if frozen:
            await noticed.wait()
            await freeze_targets(deployment)
        await asyncio.gather(*ends)
        await callers.finish()
        await callers.leave()
    record.finish()
    return record


async def freeze_targets(deployment: Deployment) -> None:
    """Let all targets stand still just after they have received the notice."""
    await asyncio.sleep(0.01)
    for number in (signal.SIGSTOP, signal.SIGCONT):
        for target in deployment.targets:
            target.send(number)
        await asyncio.sleep(FROZEN_SECONDS)


@pytest.mark.timeout(120)
@pytest.mark.parametrize("frozen", [False, True], ids=["targets-run", "targets-frozen"])
def test_no_task_runs_twice_while_a_leaving_runner_is_up(tmp_path: Path, *, frozen: bool) -> None:
    record = asyncio.run(scene(tmp_path, frozen=frozen))
    assert record.violations == []
    assert record.outcomes() == {"completed": JOBS}

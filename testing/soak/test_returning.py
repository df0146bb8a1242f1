"""The real programs while runners crash, come back under their ids and leave: no other fault.

Guards against an id that is taken for an incarnation: nothing may start on a runner 2 s after its
draining heartbeat was acknowledged, and nothing that was done may be done again.
"""

import asyncio
from pathlib import Path
from random import Random

import pytest
from deployment import Deployment, deployed
from record import Record
from soakcallers import Callers
from soakrunner import SoakRunner

RUNNERS = 4
RATE = 10.0
"""Jobs a second."""

FIRST_SECONDS = 5.0
"""Seconds in which the first lives say more than the next ones until they leave."""

AWAY = 0.2
"""Seconds from a crash until a runner is back."""

SERVING = 1.0
"""Seconds from then until it says that it leaves."""


async def crash_and_leave(runner: SoakRunner) -> None:
    """Have a runner crash, come back under its id, and leave as planned."""
    life = runner.life
    runner.crash()
    await asyncio.sleep(AWAY)
    runner.restart()
    assert runner.life == life
    await asyncio.sleep(SERVING)
    await runner.leave(AWAY)


async def scene(folder: Path) -> Record:
    record = Record()
    deployment = Deployment(folder, record, Random("returning"), returns=True)
    async with deployed(deployment, 2, RUNNERS):
        callers = Callers(deployment, record, Random("callers"))
        callers.rate = RATE
        handing_in = asyncio.ensure_future(callers.run())
        await asyncio.sleep(FIRST_SECONDS)
        for runner in deployment.runners.values():
            runner.return_always()
        # One after another, so that there is room for most of the work.
        for runner in deployment.runners.values():
            await crash_and_leave(runner)
        handing_in.cancel()
        await callers.finish()
        await callers.leave()
    record.finish()
    return record


def done_twice(record: Record) -> list[str]:
    """Return the tasks that were done again though their caller's one try had one end noted."""
    return [
        f"{task}: " + "; ".join(run.describe(runs[0].began) for run in runs)
        for task, runs in record.runs.items()
        if [run.how for run in runs if run.noted].count("done") > 1
        if len(record.tries[task.partition(".")[0]]) == 1
    ]


@pytest.mark.timeout(90)
def test_runners_that_come_back_and_leave_are_heard(tmp_path: Path) -> None:
    record = asyncio.run(scene(tmp_path))
    assert record.violations == []
    assert done_twice(record) == []
    assert record.starts > 0

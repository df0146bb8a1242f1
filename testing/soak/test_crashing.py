"""Issue 32 with the real programs: a task that crashes each runner that starts it."""

import asyncio
from pathlib import Path
from random import Random

import pytest
from deployment import Deployment, deployed
from record import Record
from soakcallers import Callers

DEADLINE = 6.0
"""Seconds that the job's caller waits: room for seven starts, 0.8 s apart."""


async def hand_in(folder: Path) -> tuple[Record, str]:
    """Hand in one such job among others, and return what was seen."""
    record = Record()
    deployment = Deployment(folder, record, Random("crashing"))
    async with deployed(deployment, 2, 10):
        callers = Callers(deployment, record, Random("callers"))
        for _ in range(10):
            callers.submit(4, 0.4, leaves=False)
        bad = callers.submit(1, 0.4, DEADLINE, leaves=False, crashes_after=0.01)
        await callers.finish()
        await callers.leave()
    record.finish()
    return record, bad


@pytest.mark.timeout(90)
def test_a_task_that_crashes_its_runners_is_not_started_without_end(tmp_path: Path) -> None:
    record, bad = asyncio.run(hand_in(tmp_path))
    assert record.violations == []
    assert [seen.outcome for seen in record.tries[bad]] == ["failed"]

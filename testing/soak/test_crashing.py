"""Issue 32 with the real programs: a task that crashes each runner that starts it."""

import asyncio
import signal
from pathlib import Path
from random import Random

import pytest
from deployment import Deployment, deployed
from record import CRASHED, Record, Violation
from soakcallers import Callers

UNKNOWN = "status 504"
"""What a caller is told of a job that is not started again: what its runs did is not known."""

DEADLINE = 6.0
"""Seconds that the job's caller waits: room for seven starts, 0.8 s apart."""

BACK_SECONDS = 4.0
"""Seconds after which all runners that were lost are back as other lives."""


async def hand_in(folder: Path, *, kill: bool = False) -> tuple[Record, str]:
    """Hand in one such job among others, and return what was seen.

    `kill`: its entry is killed after its first start, so that it comes again at another.
    """
    record = Record()
    deployment = Deployment(folder, record, Random("crashing"))
    async with deployed(deployment, 2, 10):
        callers = Callers(deployment, record, Random("callers"))
        for _ in range(10):
            callers.submit(4, 0.4, leaves=False)
        bad = callers.submit(1, 0.4, DEADLINE, leaves=False, crashes_after=0.01)
        if kill:
            await kill_home(deployment, record, bad)
        await callers.finish()
        # Once the runners are back, it is known that they have ended.
        await asyncio.sleep(BACK_SECONDS)
        callers.submit(1, 0.4, DEADLINE, leaves=False, key=bad)
        await callers.finish()
        await callers.leave()
    record.finish()
    return record, bad


def expect_two_crashes(record: Record, job: str) -> None:
    """Check that the job took two runners down, also when it came again once they were back."""
    runs = record.runs[f"{job}.0.0.0"]
    crashed = [run for run in runs if run.how == CRASHED]
    assert len(crashed) == len(runs) == 2
    assert record.tries[job][-1].outcome == UNKNOWN
    assert record.tries[job][-1].sent > max(run.began for run in runs) + BACK_SECONDS


async def kill_home(deployment: Deployment, record: Record, job: str) -> None:
    """Kill the entry that holds a job, as soon as the job has taken its first runner down."""
    async with asyncio.timeout(DEADLINE):
        while not any(run.how == CRASHED for run in record.runs.get(f"{job}.0.0.0", ())):
            await asyncio.sleep(0.01)
    deployment.processes[record.tries[job][0].entry].send(signal.SIGKILL)


def expect_killed(record: Record) -> list[Violation]:
    """Return what was broken, but for the end of the entry that the test itself has killed."""
    return [seen for seen in record.violations if seen.rule != "ENDED"]


@pytest.mark.timeout(90)
def test_a_task_that_crashes_its_runners_is_not_started_without_end(tmp_path: Path) -> None:
    record, bad = asyncio.run(hand_in(tmp_path))
    assert record.violations == []
    expect_two_crashes(record, bad)
    assert {seen.outcome for seen in record.tries[bad]} == {UNKNOWN}


@pytest.mark.timeout(90)
def test_an_entry_that_gets_the_job_after_another_was_lost_goes_on_counting(tmp_path: Path) -> None:
    record, bad = asyncio.run(hand_in(tmp_path, kill=True))
    assert expect_killed(record) == []
    assert len(record.tries[bad]) > 1
    expect_two_crashes(record, bad)

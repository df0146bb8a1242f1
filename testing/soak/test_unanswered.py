"""Runners that live on and leave orders and looks unanswered: no job may be called failed for that.

Seen: for seconds most orders and looks at nearly all runners got no answer and were carried out
late; no runner was replaced by another life, and yet jobs were answered `failed` of which no task
had failed so often.
How it came about: a target whose looks get no answer until its runner's lease is over ends its runs
as lost, and tells its entries so with the same word as for a life that another one has replaced.
The entry counted both as runners that had crashed, and two of them, often one and the same life
twice, as the task's fault.
Cause: an answer that names a cause which the process doesn't know.
"""

import asyncio
from dataclasses import dataclass
from pathlib import Path
from random import Random

import pytest
from deployment import Deployment, deployed
from record import Record, Violation
from soakcallers import Callers
from soakwire import UNANSWERED

RATE = 12.0
"""Jobs a second: enough that each runner has some at work."""

CALM_SECONDS = 0.5
TROUBLE_SECONDS = 4.0
"""Longer than three leases, shorter than what a caller spends on two tries."""

SHARE = 0.8
"""Share of the calls at each runner that are put off."""

CRASH_AFTER = 0.05
"""Seconds of work after which a task that is handed in beside takes its runner down."""

LAST_JOBS = 4
"""Jobs handed in after the trouble: each must be served."""


@dataclass(frozen=True)
class Seen:
    """What one play showed."""

    record: Record
    violations: list[Violation]
    put_off: int
    """Calls that got no answer and were carried out later."""
    last: list[str]
    """How the jobs ended that were handed in after the trouble."""


async def put_calls_off(folder: Path) -> Seen:
    """Put most calls at all runners off for a while, under load."""
    record = Record()
    deployment = Deployment(folder, record, Random(40))
    async with deployed(deployment, 2, 6):
        callers = Callers(deployment, record, Random(41), leaving=0.0)
        callers.rate = RATE
        handing_in = asyncio.ensure_future(callers.run())
        await asyncio.sleep(CALM_SECONDS)
        for name, runner in deployment.runners.items():
            runner.wire.trouble(UNANSWERED, SHARE, TROUBLE_SECONDS, Random(f"put off {name}"))
        callers.submit(1, 0.4, leaves=False, crashes_after=CRASH_AFTER)
        await asyncio.sleep(TROUBLE_SECONDS)
        handing_in.cancel()
        put_off = sum(runner.wire.hit[UNANSWERED] for runner in deployment.runners.values())
        await callers.finish()
        last = [callers.submit(2, 0.2, leaves=False) for _ in range(LAST_JOBS)]
        await callers.finish()
        await callers.leave()
    ends = [record.tries[key][-1].outcome for key in last]
    return Seen(record, record.finish(), put_off, ends)


@pytest.mark.timeout(60)
def test_no_job_is_called_failed_as_its_runners_leave_calls_unanswered(tmp_path: Path) -> None:
    seen = asyncio.run(put_calls_off(tmp_path))
    lapsed = [run for runs in seen.record.runs.values() for run in runs if run.how == "lapsed"]
    assert seen.put_off > 100, "the trouble did not come about"
    assert lapsed, "no lease was over"
    assert [f"{seen.rule} {seen.text}" for seen in seen.violations] == []
    assert seen.last == ["completed"] * LAST_JOBS

"""Planned work on the real programs: rolling stops, reloads and new configurations, no other fault.

Nothing that an entry has read is cut off, and what an entry has once known it does not forget.
"""

import asyncio
import signal
import time
from pathlib import Path
from random import Random

import pytest
from deployment import Deployment, Process, deployed
from paddleshunt_node.aio.httpclient import CallError
from record import Record
from soakcallers import Callers
from soakconfig import new_prefix

PAUSE = 0.7
"""Seconds between two stops: the next one begins while the last process is leaving."""

APPLY_SECONDS = 2.0
"""Seconds in which an accepted configuration is in force: the bound of the deployment."""

UNKNOWN_JOB = "0123456789abcdef"
KNOWN_ROUTE = 410
"""What a GET for a job on a route in force is answered; 404 where the route is not known."""


async def knows(deployment: Deployment, entry: Process, version: int) -> bool:
    """Whether an entry has the route that only this version has."""
    path = f"{new_prefix(version)}{UNKNOWN_JOB}"
    try:
        return (await deployment.get(entry, "callers", path)).status == KNOWN_ROUTE
    except CallError:
        return False


async def roll(deployment: Deployment, names: list[str]) -> None:
    """Stop processes in turn, and start each again as it has ended."""
    ending: list[asyncio.Task[None]] = []
    for name in names:
        process = deployment.processes[name]
        process.send(signal.SIGTERM)
        ending.append(asyncio.ensure_future(start_again(process)))
        await asyncio.sleep(PAUSE)
    await asyncio.gather(*ending)


async def start_again(process: Process) -> None:
    process.awaited += 1
    popen = process.popen
    assert popen is not None
    while popen.poll() is None:
        await asyncio.sleep(0.02)
    process.start()
    process.awaited -= 1


async def plan(folder: Path) -> Record:
    """Roll over all processes under load, among reloads and new configurations."""
    record = Record()
    deployment = Deployment(folder, record, Random(5))
    async with deployed(deployment, entries=3, targets=4):
        callers = Callers(deployment, record, Random(6), leaving=0.0)
        callers.rate = 6.0
        handing_in = asyncio.ensure_future(callers.run())
        await asyncio.sleep(1.0)
        # One entry always serves, as the balancer needs a moment to notice each that leaves.
        rolling = asyncio.ensure_future(roll(deployment, ["e0", "t0", "t1", "e1", "t2", "t3"]))
        for _ in range(4):
            for process in deployment.processes.values():
                if process.up and process.catches(signal.SIGHUP):
                    process.send(signal.SIGHUP)
            version = deployment.configure()
            await asyncio.sleep(APPLY_SECONDS)
            assert await knows(deployment, deployment.processes["e2"], version), version
        await rolling
        handing_in.cancel()
        await callers.finish()
        await callers.leave()
        await deployment.until_steady()
    return record


@pytest.mark.timeout(120)
def test_planned_work_cuts_off_nothing(tmp_path: Path) -> None:
    began = time.monotonic()
    record = asyncio.run(plan(tmp_path))
    assert not record.finish()
    broken = [
        f"{seen.sent - began:.2f} s {seen.job} at {seen.entry}: {seen.outcome}"
        for tries in record.tries.values()
        for seen in tries
        if seen.outcome.startswith("broken")
    ]
    assert not broken
    assert record.outcomes().get("completed", 0) > 10

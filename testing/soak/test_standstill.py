"""Issue 23: targets that stand still between a decision and the call that carries it out.

Real processes. A job fills all targets in one batch each; most of them are stopped (SIGSTOP) at
moments around the time at which their orders leave, and go on once all leases are over. Some are
caught with orders that are decided and have not left.
"""

import asyncio
import signal
import time
from pathlib import Path
from random import Random
from threading import Thread

import pytest
from deployment import Deployment, Process, deployed
from record import Record, Violation
from soakcallers import Callers

STILL_SECONDS = 1.4
"""Longer than the 1.2 s after which an entry may place a silent target's tasks again."""

TARGETS = 10
STOPPED = 7
"""Targets that are stopped in each round; the others take what is placed again."""

BATCH = 32
"""Tasks that fill a target: their orders take milliseconds to leave."""

NEED = 250
"""Thousandths of a processor that a task needs."""

TASK_SECONDS = 1.0
ROUND_SECONDS = 1.8
"""Seconds after the targets go on, in which the job ends."""

WARM_UP_JOBS = 2
ROUNDS = 14
WINDOW = (-0.008, 0.003)
"""Seconds from the first order's usual moment between which targets are stopped."""


def first_order(deployment: Deployment) -> list[float]:
    """Return a list that gets the moments at which each runner's next order arrives."""
    arrived: list[float] = []
    for runner in deployment.runners.values():
        runner.on_start = lambda: arrived.append(time.monotonic())
    return arrived


async def time_of_first_order(deployment: Deployment, callers: Callers) -> float:
    """Return how many seconds after a job is sent its first order reaches a runner."""
    while True:
        arrived = first_order(deployment)
        sent = time.monotonic()
        callers.submit(TARGETS * BATCH, 0.2, need=NEED)
        await callers.finish()
        if arrived:
            return arrived[0] - sent


def stop_after(process: Process, seconds: float) -> None:
    """Stop a process at a moment; a timer of the loop is a millisecond wide, so not by it."""
    end = time.perf_counter() + seconds
    while time.perf_counter() < end:
        time.sleep(0.0001)
    process.send(signal.SIGSTOP)


async def pause_in_batches(folder: Path, seed: int, rounds: int) -> tuple[Record, list[Violation]]:
    """Stop targets in the middle of batches, round after round; return what was seen.

    Ends with the first round that breaks a rule.
    """
    rng = Random(seed)
    record = Record()
    async with deployed(Deployment(folder, record, rng), entries=1, targets=TARGETS) as deployment:
        callers = Callers(deployment, record, rng, leaving=0.0)
        # The first jobs bring connections about, and may be slow.
        for _ in range(WARM_UP_JOBS):
            usual = await time_of_first_order(deployment, callers)
        for _ in range(rounds):
            stopped = rng.sample(deployment.targets, STOPPED)
            arrived = first_order(deployment)
            sent = time.monotonic()
            moments = [usual + rng.uniform(*WINDOW) for _ in stopped]
            callers.submit(TARGETS * BATCH, TASK_SECONDS, deadline=8.0, need=NEED)
            threads = [
                Thread(target=stop_after, args=a) for a in zip(stopped, moments, strict=True)
            ]
            for thread in threads:
                thread.start()
            await asyncio.sleep(STILL_SECONDS)
            for process in stopped:
                process.send(signal.SIGCONT)
            await asyncio.sleep(ROUND_SECONDS)
            if arrived:
                usual = arrived[0] - sent
            if record.violations:
                break
        await callers.finish()
        await callers.leave()
    return record, record.finish()


@pytest.mark.timeout(200)
def test_targets_paused_in_a_batch_start_nothing_that_their_entry_gave_up(tmp_path: Path) -> None:
    record, violations = asyncio.run(pause_in_batches(tmp_path, 23, ROUNDS))
    assert record.outcomes().get("completed", 0) > 0
    assert not [v.text for v in violations if v.rule == "TWICE"]

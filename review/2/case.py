"""Callers cancel jobs that are at work; the cancelling is answered, and the tasks go on."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins"))
from world import PREFIX, HOST, CouldNotRun, ask, main  # noqa: E402

CANCEL_S, STOP_S, ACK_S, CONTACT_S = 3.0, 0.05, 4.0, 3.0
"""`cancel_ms`, `stop_timeout_ms`, `ack_timeout_ms` and `contact_ms` of the small sites."""

TASK_S = 7.0
"""Length of a task: the longest of `ward-recount` and `scrubstrip` takes 7.2 s."""


async def scene(world):
    await world.open(2, [{"cpu": 8000}, {"cpu": 8000}])
    # All machines are in touch from here on: their starts are `contact_ms` past.
    await asyncio.sleep(CONTACT_S + 1.0)
    jobs = [(world.submit(entry, TASK_S, count=2, cpu=1600, deadline=20.0), entry)
            for entry in ("e0", "e1")]
    # More than there is room for: two of its tasks wait for the ones above.
    jobs.append((world.submit("e0", TASK_S, count=4, cpu=3200, deadline=30.0), "e0"))
    await asyncio.sleep(1.0)
    if len(world.runs) < 5:
        raise CouldNotRun("too few tasks were started")
    cancelled = {}
    if world.trouble:
        for key, entry in jobs:
            cancelled[key] = await cancel(world, key, entry)
    await asyncio.sleep(TASK_S * 2 + 2.0)
    broken = []
    for run in world.runs:
        at = cancelled.get(run["task"].partition(".")[0])
        if at is None:
            continue
        end = run["end"] if run["end"] is not None else world.now()
        if run["began"] > at + CANCEL_S:
            broken.append(f"{run['task']} was started {run['began'] - at:.2f} s after")
        elif end > at + CANCEL_S + STOP_S:
            broken.append(f"{run['task']} was at work until {end - at:.2f} s after")
        else:
            continue
        world.log("check", f"{broken[-1]} its job's cancelling: {world.describe(run)}")
    if not broken:
        return None
    return (f"UNASKED: {len(broken)} tasks of cancelled jobs went on or began: "
            f"{broken[0]} the cancelling, {broken[-1]}")


async def cancel(world, key, entry):
    """Send a DELETE to the entry that has the job; return when the cancelling counts."""
    world.log("caller", f"DELETE {key} to {entry}")
    sent = world.now()
    answer = await ask(world.addresses[entry], world.ports["callers"], "DELETE", PREFIX + key,
                       headers=(("Host", HOST),))
    world.log("caller", f"DELETE {key}: {answer}")
    # A state is the body of a 200.
    acknowledged = answer == 410 or str(answer).startswith("2") or (
        isinstance(answer, str) and answer not in ("silence", "broken"))
    return world.now() if acknowledged else sent + ACK_S


if __name__ == "__main__":
    main(Path(__file__).parent, scene)

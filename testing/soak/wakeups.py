"""How often the real programs wake up, and their processor time, while no job is there.

    make wakeups

plays them as processes among stand-ins and prints a row for each role. A wake-up is a voluntary
context switch, as Linux counts them.
"""

import asyncio
import os
import sys
import tempfile
from pathlib import Path
from random import Random
from statistics import mean

from deployment import Deployment, Process, deployed
from record import Record

SETTLE_SECONDS = 3.0
SECONDS = 10.0


def wakes(process: Process) -> int:
    """Return how often a process has gone to sleep."""
    return int(_status(process, "status", "voluntary_ctxt_switches:"))


def _status(process: Process, file: str, field: str) -> str:
    assert process.popen is not None
    lines = Path(f"/proc/{process.popen.pid}/{file}").read_text().splitlines()
    return next(line.removeprefix(field) for line in lines if line.startswith(field))


def used(process: Process) -> float:
    """Return the seconds of processor time that a process has used."""
    assert process.popen is not None
    fields = Path(f"/proc/{process.popen.pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


async def play(entries: int, targets: int) -> None:
    """Print the rows of one deployment."""
    with tempfile.TemporaryDirectory() as folder:
        deployment = Deployment(Path(folder), Record(), Random(7))
        async with deployed(deployment, entries, targets):
            await asyncio.sleep(SETTLE_SECONDS)
            before = {p.name: (wakes(p), used(p)) for p in deployment.processes.values()}
            await asyncio.sleep(SECONDS)
            for role, processes in (("entry", deployment.entries), ("target", deployment.targets)):
                woken = mean(wakes(p) - before[p.name][0] for p in processes) / SECONDS
                cores = mean(used(p) - before[p.name][1] for p in processes) / SECONDS
                size = f"entries={entries} targets={targets}"
                print(f"{size} role={role} wakeups_a_second={woken:.0f} cores={cores:.4f}")


if __name__ == "__main__":
    asyncio.run(play(*([int(word) for word in sys.argv[1:]] or [6, 12])))

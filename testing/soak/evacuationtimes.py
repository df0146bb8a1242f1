"""How long the last start in an evacuated hall comes after the operator's word.

    make evacuation-times

plays the real programs as processes, under jobs, once for each state of the store and the entries,
and prints a row of a table for each: the time to the last start, and until all were seen to know.
"""

import asyncio
import tempfile
from collections.abc import Awaitable, Callable
from pathlib import Path
from random import Random
from signal import SIGCONT, SIGSTOP
from time import monotonic

from deployment import HALLS, Deployment, Process, deployed
from record import Record
from soakcallers import Callers

ENTRIES = 3
TARGETS = 6
RATE = 25.0
"""Jobs a second: the hall that is evacuated has work all the time."""

WARM_SECONDS = 2.0
WATCH_SECONDS = 4.0
ASK_PAUSE = 0.01
HALL = HALLS[1]

Trouble = Callable[[Deployment], Awaitable[None]]


async def nothing(_deployment: Deployment) -> None:
    """Leave all as it is."""


async def slow_store(deployment: Deployment) -> None:
    """Let each answer of the store take 0.3 s."""
    deployment.store.faults.slow = 0.3


async def store_turns_away_most(deployment: Deployment) -> None:
    """Let the store serve one entry only."""
    deployment.store.faults.turned_away |= {entry.name for entry in deployment.entries[1:]}


async def one_entry_stands_still(deployment: Deployment) -> None:
    """Pause an entry for 1.5 s, across the word."""
    process = deployment.entries[0]
    process.send(SIGSTOP)
    asyncio.get_running_loop().call_later(1.5, process.send, SIGCONT)


async def restart_of_all_entries(deployment: Deployment) -> None:
    """Kill all entries half a second after the word, and start them while the store is down."""

    async def restart() -> None:
        await asyncio.sleep(0.5)
        deployment.store.faults.down = True
        for process in deployment.entries:
            _start_anew(process)
        await asyncio.sleep(2.0)
        deployment.store.faults.down = False

    asyncio.get_running_loop().call_soon(lambda: asyncio.ensure_future(restart()))


def _start_anew(process: Process) -> None:
    process.awaited += 1
    process.end()
    process.start()
    process.awaited -= 1


TROUBLES: dict[str, Trouble] = {
    "store well": nothing,
    "store slow, 0.3 s an answer": slow_store,
    "store serves one entry of three": store_turns_away_most,
    "an entry stands still for 1.5 s": one_entry_stands_still,
    "all entries killed 0.5 s after, the store then down for 2 s": restart_of_all_entries,
}


async def measure(trouble: Trouble, seed: int, folder: Path) -> tuple[float, float | None]:
    """Return the seconds to the last start in the hall, and to the last process that knew."""
    record = Record()
    deployment = Deployment(folder, record, Random(seed))
    async with deployed(deployment, ENTRIES, TARGETS):
        callers = Callers(deployment, record, Random(seed), leaving=0.0)
        callers.rate = RATE
        handing_in = asyncio.ensure_future(callers.run())
        await asyncio.sleep(WARM_SECONDS)
        await trouble(deployment)
        deployment.evacuate(HALL)
        word = monotonic()
        known = await _until_all_know(deployment, word)
        await asyncio.sleep(max(0.0, word + WATCH_SECONDS - monotonic()))
        handing_in.cancel()
        await callers.leave()
    starts = [
        run.began - word
        for runs in record.runs.values()
        for run in runs
        if record.halls[run.runner] == HALL
    ]
    return max(starts, default=0.0), known


async def _until_all_know(deployment: Deployment, word: float) -> float | None:
    """Return how long it took until each process was seen to know; None if one was not."""
    waiting = list(deployment.processes.values())
    while waiting and monotonic() < word + WATCH_SECONDS:
        for process in list(waiting):
            dump = None if process.paused else await deployment.dump(process)
            if dump is not None and dump["evacuated_halls"] == [HALL]:
                waiting.remove(process)
        await asyncio.sleep(ASK_PAUSE)
    return None if waiting else monotonic() - word


def main() -> None:
    """Print the table."""
    print("| state | last start after the word, ms | all seen to know, ms |")
    print("|---|---|---|")
    for name, trouble in TROUBLES.items():
        with tempfile.TemporaryDirectory() as folder:
            last, known = asyncio.run(measure(trouble, 7, Path(folder)))
        shown = "not all" if known is None else f"{known * 1000:.0f}"
        print(f"| {name} | {last * 1000:.0f} | {shown} |", flush=True)


if __name__ == "__main__":
    main()

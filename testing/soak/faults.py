"""Faults of a soak, from outside only: a schedule that a seed gives, and what carries it out.

Faults come in series and overlap: each lasts a while, and the next does not wait for its end.
"""

import asyncio
import contextlib
import signal
import subprocess
from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from time import monotonic

from deployment import HALLS, Deployment, Process
from soakcallers import Callers
from soakwire import KINDS as WIRE_KINDS
from soakwire import trouble_many

MEAN_GAP = 0.35
"""Mean seconds between two faults."""

LONGEST = 3.0
"""Seconds that a fault lasts at most: longer than every lease."""

BROKEN_SETTINGS = "[unknown]\nkey = 1"


@dataclass(frozen=True)
class Fault:
    """One fault: when, what, whom (a share of the list of candidates), and for how long."""

    at: float
    kind: str
    whom: float
    seconds: float


PROCESS_KINDS = ("pause", "pause_at_order", "kill", "stop", "move_entry", "reload", "reload_broken")
RUNNER_KINDS = ("crash", "silent", "loses_answers", "late", "fails", "stands_still", "slow")
STORE_KINDS = ("store_down", "store_slow", "store_loses", "store_forgets", "turned_away")
CONFIGURE = "configure"
LOSES_STOPS = "loses_stops"
"""Orders to stop get lost, all else goes on: drawn apart, so that older seeds keep their faults."""

EVACUATE = "evacuate"
"""The operator evacuates a hall and takes it back: drawn apart as well."""

SHRINKS = "shrinks"
"""A runner's capacity shrinks, to nothing too, and grows again: drawn apart as well."""

ODD_WORDS = "odd_words"
"""Other writers speak to a target, list items in the store and runs at a runner: drawn apart."""

ODD_WORDS_GAP = 4.0
"""Mean seconds between two such faults."""

ODD_PAUSE = 0.1
"""Seconds between two odd heartbeats."""

SHRINK_STEPS = 3
"""Sizes to which a runner shrinks."""

SHRINK_GAP = 3.0
"""Mean seconds between two such faults."""

CRASHING = "crashing_jobs"
"""Jobs come of which a task crashes each runner that starts it: drawn apart as well."""

CRASHING_GAP = 5.0
"""Mean seconds between two such moments."""

MOST_CRASHING = 3
"""Jobs of that kind that come at once."""

LATEST_CRASH = 0.35
"""Seconds of work after which such a task takes its runner down, at most."""

LEAVES = "leaves"
"""A runner says that it leaves, ends as planned and starts again: drawn apart as well."""

CRASHES = "crashes"
"""A runner crashes and is back within a moment: drawn apart as well."""

LEAVES_GAP = 4.0
"""Mean seconds between two such faults."""

BACK_SECONDS = (0.05, 0.5)
"""Seconds until a runner is back."""

EVACUATION_GAP = 5.0
"""Mean seconds between two evacuations."""

EVACUATION_LONGEST = 8.0
"""Seconds that one lasts at most: longer than the bound after which nothing may start."""

LOST_STOPS_GAP = 4.0
"""Mean seconds between two such faults."""

WEIGHTS = {
    **dict.fromkeys(PROCESS_KINDS, 1.0),
    **dict.fromkeys(RUNNER_KINDS, 0.5),
    **dict.fromkeys(STORE_KINDS, 0.3),
    CONFIGURE: 1.0,
    "pause": 3.0,
    "pause_at_order": 3.0,
    "kill": 2.0,
}


def schedule(seed: int, seconds: float) -> list[Fault]:
    """Return the faults of a seed, in order."""
    rng = Random(f"faults {seed}")
    kinds = list(WEIGHTS)
    weights = [WEIGHTS[kind] for kind in kinds]
    faults: list[Fault] = []
    at = rng.expovariate(1 / MEAN_GAP)
    while at < seconds:
        (kind,) = rng.choices(kinds, weights)
        faults.append(Fault(at, kind, rng.random(), rng.uniform(0.1, LONGEST)))
        at += rng.expovariate(1 / MEAN_GAP)
    stops = (LOSES_STOPS, LOST_STOPS_GAP, (0.5, LONGEST))
    faults += _drawn_apart(f"lost stops {seed}", seconds, *stops)
    evacuations = (EVACUATE, EVACUATION_GAP, (0.1, EVACUATION_LONGEST))
    faults += _drawn_apart(f"evacuations {seed}", seconds, *evacuations)
    crashing = (CRASHING, CRASHING_GAP, (0.1, LONGEST))
    faults += _drawn_apart(f"crashing jobs {seed}", seconds, *crashing)
    faults += _drawn_apart(f"shrinking {seed}", seconds, SHRINKS, SHRINK_GAP, (0.1, 2 * LONGEST))
    faults += _drawn_apart(f"odd words {seed}", seconds, ODD_WORDS, ODD_WORDS_GAP, (0.5, LONGEST))
    return sorted(faults, key=lambda fault: fault.at)


def _drawn_apart(
    seed: str, seconds: float, kind: str, mean_gap: float, lengths: tuple[float, float]
) -> list[Fault]:
    """Return the faults of one kind, drawn so that the other kinds' faults stay as they are."""
    rng = Random(seed)
    faults: list[Fault] = []
    at = rng.expovariate(1 / mean_gap)
    while at < seconds:
        faults.append(Fault(at, kind, rng.random(), rng.uniform(*lengths)))
        at += rng.expovariate(1 / mean_gap)
    return faults


def returning_schedule(seed: int, seconds: float) -> list[Fault]:
    """Return the faults of a seed by which runners start again, in order."""
    leaves = _drawn_apart(f"leaves {seed}", seconds, LEAVES, LEAVES_GAP, BACK_SECONDS)
    crashes = _drawn_apart(f"crashes {seed}", seconds, CRASHES, LEAVES_GAP, BACK_SECONDS)
    return sorted(leaves + crashes, key=lambda fault: fault.at)


class Injector:
    """Carries out a schedule on a deployment."""

    def __init__(self, deployment: Deployment, callers: Callers) -> None:
        self._deployment = deployment
        self._callers = callers
        self._tasks: set[asyncio.Task[None]] = set()
        self.counts: dict[str, int] = {}

    async def run(self, faults: list[Fault]) -> None:
        """Inject all faults at their times, and wait for the last one's end."""
        began = monotonic()
        for fault in faults:
            await asyncio.sleep(began + fault.at - monotonic())
            self.counts[fault.kind] = self.counts.get(fault.kind, 0) + 1
            task = asyncio.ensure_future(self._inject(fault))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        await asyncio.gather(*self._tasks)

    async def _inject(self, fault: Fault) -> None:
        if fault.kind in (*RUNNER_KINDS, LOSES_STOPS, SHRINKS, LEAVES, CRASHES):
            await self._trouble_runner(fault)
        elif fault.kind in WIRE_KINDS:
            wires = [runner.wire for runner in self._deployment.runners.values()]
            trouble_many(wires, fault.kind, Random(fault.whom), fault.seconds)
            await asyncio.sleep(fault.seconds)
        elif fault.kind in STORE_KINDS:
            await self._trouble_store(fault)
        elif fault.kind == CONFIGURE:
            self._deployment.configure()
        elif fault.kind == CRASHING:
            self._hand_in_crashing(fault)
        elif fault.kind == EVACUATE:
            await self._evacuate(fault)
        elif fault.kind == ODD_WORDS:
            await self._speak_oddly(fault)
        else:
            await self._trouble_process(fault)

    def _hand_in_crashing(self, fault: Fault) -> None:
        jobs = 1 + int(fault.whom * MOST_CRASHING)
        for number in range(jobs):
            after = LATEST_CRASH * fault.seconds / LONGEST / (number + 1)
            self._callers.submit(2, 0.4, leaves=False, crashes_after=after)

    async def _evacuate(self, fault: Fault) -> None:
        hall = HALLS[int(fault.whom * len(HALLS))]
        if self._deployment.evacuate(hall):
            await asyncio.sleep(fault.seconds)
            self._deployment.take_back(hall)

    async def _speak_oddly(self, fault: Fault) -> None:
        """Have other writers speak: nothing may come of it."""
        runners = list(self._deployment.runners.values())
        runner = runners[int(fault.whom * len(runners))]
        store = self._deployment.store
        runner.faults.odd_rows = store.faults.odd_items = True
        end = monotonic() + fault.seconds
        number = 0
        while monotonic() < end:
            await runner.speak_oddly(number)
            number += 1
            await asyncio.sleep(ODD_PAUSE)
        runner.faults.odd_rows = store.faults.odd_items = False

    # Processes.

    async def _trouble_process(self, fault: Fault) -> None:
        candidates = list(self._deployment.processes.values())
        if fault.kind == "pause_at_order":
            candidates = self._deployment.targets
        if fault.kind == "move_entry":
            candidates = self._deployment.entries
        process = candidates[int(fault.whom * len(candidates))]
        match fault.kind:
            case "pause":
                await self._pause(process, fault.seconds)
            case "pause_at_order":
                await self._pause_at_order(process, fault.seconds)
            case "kill":
                await self._end(process, signal.SIGKILL, fault.seconds)
            case "stop":
                await self._end(process, signal.SIGTERM, 0.0)
            case "move_entry":
                ending = asyncio.ensure_future(self._end(process, signal.SIGKILL, fault.seconds))
                await self._deployment.move(process)
                await ending
            case "reload":
                self._deployment.write_settings(process)
                process.send(signal.SIGHUP)
            case _:
                self._deployment.write_settings(process, extra=BROKEN_SETTINGS)
                process.send(signal.SIGHUP)
                await asyncio.sleep(0.1)
                self._deployment.write_settings(process)

    async def _pause(self, process: Process, seconds: float) -> None:
        process.send(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        process.send(signal.SIGCONT)

    async def _pause_at_order(self, process: Process, seconds: float) -> None:
        """Stop a target when its next order arrives: the rest of a batch may not have left."""
        runner = self._deployment.runners[process.name]
        arrived = asyncio.Event()

        def hook() -> None:
            process.send(signal.SIGSTOP)
            arrived.set()

        runner.on_start = hook
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(arrived.wait(), LONGEST)
        if runner.on_start is hook:
            runner.on_start = None
        # The order may have come in the very moment in which the wait ended.
        if not arrived.is_set():
            return
        await asyncio.sleep(seconds)
        process.send(signal.SIGCONT)

    async def _end(self, process: Process, number: signal.Signals, seconds: float) -> None:
        """Tell a process to end, and start it again so many seconds after it has."""
        process.send(number)
        popen = process.popen
        if popen is None:
            return
        process.awaited += 1
        try:
            await self._ended(process, popen)
            await asyncio.sleep(seconds)
            # Another fault may have started it meanwhile.
            if process.popen is popen:
                process.start()
        finally:
            process.awaited -= 1

    async def _ended(self, process: Process, popen: subprocess.Popen[bytes]) -> None:
        """Wait for a process's end, and kill it after the time that it has for it."""
        end = monotonic() + self._deployment.bounds.grace_s
        while popen.poll() is None and monotonic() < end:
            await asyncio.sleep(0.02)
        if popen.poll() is None:
            process.send(signal.SIGKILL)
            await asyncio.to_thread(popen.wait)

    # Runners.

    async def _trouble_runner(self, fault: Fault) -> None:
        runners = list(self._deployment.runners.values())
        runner = runners[int(fault.whom * len(runners))]
        if fault.kind == LEAVES:
            await runner.leave(fault.seconds)
            return
        if fault.kind in ("crash", CRASHES):
            if runner.up:
                runner.crash()
                await asyncio.sleep(fault.seconds)
                runner.restart()
            return
        if fault.kind == SHRINKS:
            # To nothing, a third or two of it: the length of the fault says which, too.
            runner.resize(int(fault.seconds * SHRINK_STEPS / (2 * LONGEST)) / SHRINK_STEPS)
            await asyncio.sleep(fault.seconds)
            runner.resize(1.0)
            return
        field, value, normal = {
            "silent": ("silent", True, False),
            "loses_answers": ("loses_answers", True, False),
            "late": ("late", 0.6, 0.0),
            "fails": ("fails", True, False),
            "stands_still": ("stands_still", True, False),
            "slow": ("speed", 0.3, 1.0),
            LOSES_STOPS: ("loses_stops", True, False),
        }[fault.kind]
        await self._set(lambda v: setattr(runner.faults, field, v), value, normal, fault.seconds)

    # The store.

    async def _trouble_store(self, fault: Fault) -> None:
        store = self._deployment.store
        names = list(self._deployment.processes)
        name = names[int(fault.whom * len(names))]
        match fault.kind:
            case "store_down":
                await self._set_store("down", True, False, fault.seconds)
            case "store_slow":
                await self._set_store("slow", 0.3, 0.0, fault.seconds)
            case "store_loses":
                await self._set_store("loses_answers", True, False, fault.seconds)
            case "store_forgets":
                store.forget_history()
            case _:
                store.faults.turned_away.add(name)
                await asyncio.sleep(fault.seconds)
                store.faults.turned_away.discard(name)

    async def _set_store(self, field: str, value: object, normal: object, seconds: float) -> None:
        faults = self._deployment.store.faults
        await self._set(lambda v: setattr(faults, field, v), value, normal, seconds)

    async def _set(
        self, put: Callable[[object], None], value: object, normal: object, seconds: float
    ) -> None:
        put(value)
        await asyncio.sleep(seconds)
        put(normal)

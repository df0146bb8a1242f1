"""A random play, no case: signals at processes, crashes of runners, checks at each start.

    python3 review/standins-2/random_play.py SEED FOLDER

Two entries, five targets, runners that start whatever they are told; 25 jobs a second, some of which
require a label or limit their tasks on one runner. For 85 s, 1.6 times a second, an entry or target
stands still (0.05 to 2.5 s), is killed, stopped or gets SIGHUP, or a runner crashes and is back after
0.02 to 1.5 s under a new id. A start that breaks LIMIT, TWICE or ROUTE is printed. The moments at which
processes get the processor are the machine's, so a seed need not repeat.
"""

import asyncio
import random
import signal
import sys
from collections import Counter
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).parent))
from scene import ROUTE, Process, Run, Runner, Scene, call, play  # noqa: E402

ENTRIES, TARGETS = 2, 5
RATE = 25.0
FAULTS_PER_SECOND = 1.6
SECONDS = 85.0
RESEND_S = 1.3
KINDS = "ab"


class CheckedRunner(Runner):
    """A runner that checks each of its starts against all runners."""

    others: list[Runner] = []
    needs: dict[str, tuple[str, int]] = {}
    broken: list[str] = []

    def _start_run(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        before = len(self.runs)
        answer = super()._start_run(body)
        if len(self.runs) > before:
            self._check(self.runs[-1])
        return answer

    def _check(self, run: Run) -> None:
        job = run.task.partition(".")[0]
        label, spread = self.needs.get(job, ("", 0))
        here = [task for task in self._running if task.startswith(job)]
        used = sum(self._needs.values())
        if label and label not in self.labels:
            self._tell(f"LABEL {run.task} requires {label} at {self.life}")
        if spread and len(here) > spread:
            self._tell(f"SPREAD {len(here)} tasks of {job} at {self.life}")
        if used > self.capacity["cpu"]:
            self._tell(f"LIMIT {used} of {self.capacity['cpu']} at {self.life}")
        for other in self.others:
            if other is not self and other.up and run.task in other._running:
                self._tell(f"TWICE {run.task} at {self.life} and {other.life}")

    def _tell(self, text: str) -> None:
        self.broken.append(text)
        self.log.write("BROKEN", text=text)
        print(text, flush=True)


async def story(scene: Scene, trouble: bool) -> list[str]:
    rng = random.Random(int(sys.argv[1]))
    await scene.store.server.start(f"{scene.net}.250:{scene.ports['store']}")
    scene.configure([ROUTE])
    for number in range(ENTRIES):
        scene.entries.append(Process(scene, f"entry-{number}", "entry", f"{scene.net}.{1 + number}"))
    for number in range(TARGETS):
        target = Process(scene, f"target-{number}", "target", f"{scene.net}.{101 + number}")
        runner = CheckedRunner(
            f"runner-{number}",
            target.address("app"),
            target.address("control"),
            scene.record,
            labels=[KINDS[number % 2], "r1-1"],
            guards=False,
            cpu=6400,
        )
        scene.targets.append(target)
        scene.runners.append(runner)
        CheckedRunner.others.append(runner)
        await runner.start()
    processes = [*scene.entries, *scene.targets]
    for process in processes:
        process.start()
    await asyncio.sleep(3)

    async def hand_in() -> int:
        """Hand a job in, again as the pages say; return the last status."""
        key = scene.key()
        label, spread = rng.choice(["a", "b", ""]), rng.choice([0, 1, 1, 2])
        CheckedRunner.needs[key] = (label, spread)
        step = {"requirements": label, "anti_affinity": spread}
        step = {name: value for name, value in step.items() if value}
        length, cpu = rng.choice([60, 120, 400, 1500]), rng.choice([800, 1600, 3000])
        body = scene.job(rng.choice([1, 2, 3, 4]), length, cpu, **step)
        status = 0
        for _ in range(4):
            address = rng.choice(scene.entries).address("frontend")
            path = ROUTE["path_prefix"] + key
            answer = await call(address, "POST", path, body, scene.headers(6.0), 6.0)
            status = answer.status
            if status in (200, 404, 503):
                break
            await asyncio.sleep(RESEND_S)
        return status

    async def start_again(process: Process) -> None:
        while process.up:
            await asyncio.sleep(0.02)
        await asyncio.sleep(0.3)
        if not working[0].cancelled():
            process.start()

    async def go_on(process: Process, seconds: float) -> None:
        await asyncio.sleep(seconds)
        process.send(signal.SIGCONT)

    async def come_back(runner: Runner) -> None:
        await asyncio.sleep(rng.choice([0.02, 0.1, 0.4, 1.5]))
        await runner.start()

    def strike() -> None:
        drawn = rng.random()
        process = rng.choice(processes)
        runner = rng.choice(scene.runners)
        if drawn < 0.35:
            long = rng.random() > 0.7
            process.send(signal.SIGSTOP)
            seconds = rng.uniform(0.45, 2.5) if long else rng.uniform(0.05, 0.45)
            asyncio.ensure_future(go_on(process, seconds))
        elif drawn < 0.55 and process.up:
            process.send(rng.choice([signal.SIGKILL, signal.SIGKILL, signal.SIGTERM]))
            asyncio.ensure_future(start_again(process))
        elif drawn < 0.85 and runner.up:
            runner.crash()
            asyncio.ensure_future(come_back(runner))
        else:
            process.send(signal.SIGHUP)

    jobs: list[asyncio.Task[int]] = []

    async def load() -> None:
        while True:
            await asyncio.sleep(rng.expovariate(RATE))
            jobs.append(asyncio.ensure_future(hand_in()))

    async def disturb() -> None:
        while trouble:
            await asyncio.sleep(rng.expovariate(FAULTS_PER_SECOND))
            strike()

    working = [asyncio.ensure_future(load()), asyncio.ensure_future(disturb())]
    await asyncio.sleep(SECONDS)
    for task in working:
        task.cancel()
    statuses = Counter(await asyncio.gather(*jobs))
    print(f"{len(scene.runs())} runs, answers {dict(statuses)}")
    return CheckedRunner.broken


play(story, Path(sys.argv[2]), 130.0)

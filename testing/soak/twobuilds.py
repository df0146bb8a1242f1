"""Processes of two builds beside one another: `make two-builds OLD=/path/to/another/checkout`.

Guards against a change of what processes send to each other, or leave in the store, that a process
of the other build can't read. OLD is a checkout of the other build; its programs run with this
environment's libraries.
"""

import asyncio
import re
import signal
import sys
import tempfile
from collections.abc import Sequence
from pathlib import Path
from random import Random

import click
from deployment import ROOT, Deployment, Process, deployed, sources
from record import Record, RunSeen
from soakcallers import Callers

ENTRIES = ("e0", "e1", "e2")
TARGETS = ("t0", "t1", "t2", "t3", "t4", "t5")

JOBS = 12
"""Jobs submitted in each step."""

APPLY_SECONDS = 4.0
"""Seconds in which a configuration or an evacuation is in force at every process."""

SPREAD_SECONDS = 6.0
"""Seconds in which each entry has logged that a runner was lost."""

START_SECONDS = 20.0
"""Seconds in which a process that is started again is at work."""

MIXES = {
    "old entries, new targets": ENTRIES,
    "new entries, old targets": TARGETS,
    "each second process old": ENTRIES[::2] + TARGETS[::2],
    "all old, then exchanged": ENTRIES + TARGETS,
}
"""Which processes are of the old build; all others are of this one."""

EXCHANGED = "all old, then exchanged"
"""The mix whose processes are started again as this build, on the store as the old ones left it."""


class StepError(Exception):
    """A step did not show what it must."""


class Play:
    """Plays the steps on one deployment."""

    def __init__(self, deployment: Deployment, record: Record) -> None:
        self._deployment = deployment
        self._record = record
        self._callers = Callers(deployment, record, Random("callers"))

    async def serve(self) -> str:
        """Submit jobs; each must be completed."""
        keys = [self._callers.submit(4, 0.2, leaves=False) for _ in range(JOBS)]
        await self._callers.finish()
        outcomes = [self._record.tries[key][-1].outcome for key in keys]
        if outcomes != ["completed"] * JOBS:
            raise StepError(f"expected {JOBS} completed jobs, found {sorted(outcomes)}")
        entries = {self._record.tries[key][-1].entry for key in keys}
        runners = {run.runner for key in keys for run in self._runs(key)}
        return f"{JOBS} jobs through {sorted(entries)} at {sorted(runners)}"

    async def configure(self) -> str:
        """Put a configuration into the store; it must be in force at every entry."""
        version = self._deployment.configure()
        await self._deployment.until_configured(APPLY_SECONDS)
        return f"version {version}"

    async def hand_on(self, giver: str) -> str:
        """Let one entry alone read the store; the others must get the configuration from it."""
        turned_away = self._deployment.store.faults.turned_away
        turned_away |= {entry.name for entry in self._deployment.entries} - {giver}
        try:
            version = self._deployment.configure()
            await self._deployment.until_configured(APPLY_SECONDS)
        finally:
            turned_away.clear()
        return f"version {version} from {giver}"

    async def evacuate(self) -> str:
        """Evacuate a hall and take that back; every process must follow."""
        self._deployment.evacuate("annex")
        await self._deployment.until_configured(APPLY_SECONDS)
        self._deployment.take_back("annex")
        await self._deployment.until_configured(APPLY_SECONDS)
        return "annex"

    async def lose(self, target: str) -> str:
        """Crash a runner while it is at work, and start it again; every entry must log its loss."""
        logs = {entry.name: entry.log for entry in self._deployment.entries}
        before = {name: _losses(log) for name, log in logs.items()}
        for _ in range(JOBS):
            self._callers.submit(4, 0.9, leaves=False)
        async with asyncio.timeout(START_SECONDS):
            while not self._at_work(target):
                await asyncio.sleep(0.01)
        self._deployment.runners[target].crash()
        async with asyncio.timeout(SPREAD_SECONDS):
            while any(_losses(log) == before[name] for name, log in logs.items()):
                await asyncio.sleep(0.1)
        self._deployment.runners[target].restart()
        await self._callers.finish()
        await self._deployment.until_steady(START_SECONDS)
        return f"runner of {target}, logged at {sorted(logs)}"

    async def exchange(self, process: Process, build: Path) -> str:
        """Stop a process and start it again as another build."""
        assert process.popen is not None
        process.awaited += 1
        process.send(signal.SIGTERM)
        await asyncio.to_thread(process.popen.wait, START_SECONDS)
        process.sources = sources(build)
        process.start()
        process.awaited -= 1
        await self._deployment.until_steady(START_SECONDS)
        await self._deployment.until_configured(START_SECONDS)
        return f"{process.name} as {build}"

    async def leave(self) -> None:
        """End what callers still wait for."""
        await self._callers.leave()

    def _runs(self, key: str) -> list[RunSeen]:
        return [
            run for task, runs in self._record.runs.items() if task.startswith(key) for run in runs
        ]

    def _at_work(self, target: str) -> bool:
        return any(
            run.runner == target and run.end is None
            for runs in self._record.runs.values()
            for run in runs
        )


def _losses(log: Path) -> int:
    return len(re.findall(r"event=runner_loss_learned\b", log.read_text()))


async def play(folder: Path, old: Path, names: Sequence[str], *, exchange: bool) -> None:
    """Play all steps with some processes of the old build, and print what each showed."""
    record = Record()
    deployment = Deployment(folder, record, Random("two builds"))
    deployment.builds = {name: sources(old) for name in names}
    async with deployed(deployment, len(ENTRIES), len(TARGETS)):
        steps = Play(deployment, record)
        try:
            await _play_steps(steps, deployment, names, exchange=exchange)
        finally:
            await steps.leave()
    broken = [f"{seen.rule} {seen.text}" for seen in record.finish()]
    if broken:
        raise StepError(f"expected no broken rule, found {broken}")


async def _play_steps(
    steps: Play, deployment: Deployment, names: Sequence[str], *, exchange: bool
) -> None:
    _print("serve", await steps.serve())
    _print("configure", await steps.configure())
    _print("hand on", await steps.hand_on(ENTRIES[0]))
    _print("hand on", await steps.hand_on(ENTRIES[1]))
    _print("evacuate", await steps.evacuate())
    _print("lose", await steps.lose(TARGETS[0]))
    _print("lose", await steps.lose(TARGETS[1]))
    if exchange:
        for name in names:
            process = deployment.processes[name]
            _print("exchange", await steps.exchange(process, ROOT))
        _print("serve", await steps.serve())
        _print("configure", await steps.configure())


def _print(step: str, seen: str) -> None:
    click.echo(f"    {step}: {seen}")


@click.command()
@click.argument("old", type=click.Path(path_type=Path, exists=True, file_okay=False))
@click.option("--logs", type=click.Path(path_type=Path), default=None, help="Where logs are kept.")
def main(old: Path, logs: Path | None) -> None:
    """Play each mix of the builds OLD and this checkout, and print what was seen."""
    folder = logs or Path(tempfile.mkdtemp(prefix="two-builds-"))
    failed = 0
    for title, names in MIXES.items():
        own = folder / title.replace(" ", "-").replace(",", "")
        own.mkdir(parents=True)
        click.echo(f"{title}:")
        try:
            asyncio.run(play(own, old, names, exchange=title == EXCHANGED))
        except (StepError, TimeoutError) as problem:
            failed += 1
            click.echo(f"    FAILED {type(problem).__name__} {problem}")
    click.echo(f"{failed} mixes failed; logs: {folder}")
    sys.exit(failed > 0)


if __name__ == "__main__":
    main()

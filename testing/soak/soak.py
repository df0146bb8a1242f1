"""A fault soak of the real programs: `make soak SEEDS=0:50 SECONDS=15`.

Each seed is a schedule of faults. The moments at which processes get the processor are the
machine's, so a seed that failed may pass the next time; its folder of logs is kept.
"""

import asyncio
import os
import signal
import subprocess
import sys
import tempfile
import time
import tomllib
from collections import Counter
from dataclasses import dataclass
from pathlib import Path
from random import Random

import click
from deployment import Deployment, deployed
from faults import Injector, returning_schedule, schedule
from record import Record, Violation
from soakcallers import Callers
from widefaults import wide_schedule

KNOWN = Path(__file__).parent / "seeds.toml"

AFTER_SECONDS = 15.0
"""Seconds in which all is at work together after the last fault."""

APPLY_SECONDS = 2.0
"""Seconds after that in which the newest configuration is in force at every entry."""

LAST_JOBS = 6
"""Jobs handed in after the faults: each must be served."""


@dataclass(frozen=True)
class Size:
    """How large a soak is, and how busy: jobs a second, and seconds of faults.

    `wide`: whether there are faults at many runners at once. Older seeds have none.
    """

    entries: int = 3
    targets: int = 6
    rate: float = 8.0
    seconds: float = 15.0
    wide: bool = False
    returns: bool = False
    """Whether runners leave, crash and start again under the id they had. Older seeds have none."""


def known_seeds(*, ci: bool) -> list[int]:
    """Return the seeds that once broke a rule, all or those that CI plays."""
    listed = tomllib.loads(KNOWN.read_text())["seed"]
    return [int(seed["number"]) for seed in listed if seed.get("ci") or not ci]


@dataclass(frozen=True)
class Result:
    """What one soak showed."""

    seed: int
    violations: list[Violation]
    tries: dict[str, int]
    starts: int
    faults: dict[str, int]

    def line(self) -> str:
        """Return the result in one line."""
        broken = Counter(violation.rule for violation in self.violations)
        outcomes: Counter[str] = Counter()
        for outcome, count in self.tries.items():
            outcomes[outcome.partition(":")[0]] += count
        return (
            f"seed {self.seed}: {dict(broken) or 'kept'}; starts {self.starts},"
            f" faults {sum(self.faults.values())}, tries {dict(outcomes)}"
        )


async def play(seed: int, size: Size, folder: Path) -> Result:
    """Play one seed."""
    record = Record()
    deployment = Deployment(folder, record, Random(f"deployment {seed}"), returns=size.returns)
    # Every other seed has runners that start whatever they are told.
    async with deployed(deployment, size.entries, size.targets, guards=seed % 2 == 0):
        callers = Callers(deployment, record, Random(f"callers {seed}"))
        callers.rate = size.rate
        # These draw for themselves, so that the other callers of a seed do as they always did.
        crashing = Callers(deployment, record, Random(f"crashing {seed}"))
        injector = Injector(deployment, crashing)
        handing_in = asyncio.ensure_future(callers.run())
        watching = asyncio.ensure_future(deployment.watch_versions())
        faults = schedule(seed, size.seconds)
        if size.wide:
            faults += wide_schedule(seed, size.seconds)
        if size.returns:
            faults += returning_schedule(seed, size.seconds)
        await injector.run(sorted(faults, key=lambda fault: fault.at))
        handing_in.cancel()
        await _recover(deployment, callers, record)
        watching.cancel()
        await crashing.finish()
        await callers.leave()
        await crashing.leave()
    violations = record.finish()
    return Result(seed, violations, record.outcomes(), record.starts, injector.counts)


async def _recover(deployment: Deployment, callers: Callers, record: Record) -> None:
    """Check that all is at work again, and that jobs are served."""
    try:
        await deployment.until_steady(AFTER_SECONDS)
    except TimeoutError:
        text = f"not at work together {AFTER_SECONDS} s after the last fault"
        record.violations.append(Violation("RECOVER", time.monotonic(), text))
        return
    try:
        await deployment.until_configured(APPLY_SECONDS)
    except TimeoutError:
        text = f"version {deployment.version} is not in force everywhere after {APPLY_SECONDS} s"
        record.violations.append(Violation("CONFIG", time.monotonic(), text))
    await callers.finish()
    keys = [callers.submit(2, 0.2, leaves=False) for _ in range(LAST_JOBS)]
    await callers.finish()
    for key in keys:
        if record.tries[key][-1].outcome != "completed":
            outcomes = [seen.outcome for seen in record.tries[key]]
            violation = Violation(
                "RECOVER", time.monotonic(), f"{key} after the faults: {outcomes}"
            )
            record.violations.append(violation)


@click.command()
@click.option("--seeds", default="0:10", help="FIRST:END, END not included.")
@click.option("--known", is_flag=True, help="Play the seeds that once broke a rule.")
@click.option("--seconds", default=15.0, help="Seconds of faults in each.")
@click.option("--entries", default=3)
@click.option("--targets", default=6)
@click.option("--rate", default=8.0, help="Jobs a second.")
@click.option("--wide/--no-wide", default=True, help="Whether there are faults at many runners.")
@click.option("--returns/--no-returns", default=True, help="Whether runners' ids come back.")
@click.option("--at-once", default=1, help="Soaks played at the same time.")
@click.option("--logs", type=click.Path(path_type=Path), default=None, help="Where logs are kept.")
def main(
    seeds: str,
    known: bool,
    seconds: float,
    entries: int,
    targets: int,
    rate: float,
    wide: bool,
    returns: bool,
    at_once: int,
    logs: Path | None,
) -> None:
    """Play soaks, print a line for each, and fail if any broke a rule."""
    # An end from outside must take the processes of the deployment with it.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    first, _, end = seeds.partition(":")
    numbers = known_seeds(ci=False) if known else list(range(int(first), int(end)))
    folder = logs or Path(tempfile.mkdtemp(prefix="soak-"))
    folder.mkdir(parents=True, exist_ok=True)
    # The seeds that are known were found without these faults, and stay as they were.
    size = Size(entries, targets, rate, seconds, wide and not known, returns and not known)
    if at_once > 1:
        sys.exit(_in_parts(numbers, at_once, size, folder))
    broken = 0
    for seed in numbers:
        own = folder / f"seed-{seed}"
        own.mkdir(exist_ok=True)
        result = asyncio.run(play(seed, size, own))
        click.echo(result.line())
        for violation in result.violations[:5]:
            click.echo(f"    {violation.rule} {violation.text}")
        broken += bool(result.violations)
        if not result.violations:
            _clear(own)
    click.echo(f"{len(numbers)} seeds, {broken} broke a rule; logs of these: {folder}")
    sys.exit(broken > 0)


def _in_parts(numbers: list[int], parts: int, size: Size, folder: Path) -> int:
    """Play the seeds in several processes of this program; return whether any broke a rule."""
    options = [
        f"--entries={size.entries}",
        f"--targets={size.targets}",
        f"--rate={size.rate}",
        f"--seconds={size.seconds}",
        "--wide" if size.wide else "--no-wide",
        "--returns" if size.returns else "--no-returns",
        f"--logs={folder}",
    ]
    length = -(-len(numbers) // parts)
    running = []
    for at in range(0, len(numbers), length):
        part = numbers[at : at + length]
        command = [sys.executable, __file__, *options, f"--seeds={part[0]}:{part[-1] + 1}"]
        running.append(subprocess.Popen(command, env=dict(os.environ)))
    return max(process.wait() for process in running)


def _clear(folder: Path) -> None:
    for file in folder.iterdir():
        file.unlink()
    folder.rmdir()


if __name__ == "__main__":
    main()

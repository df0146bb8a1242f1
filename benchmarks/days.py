"""Plays days of a deployment with several checkouts of this project and compares them in pairs.

A variant is a checkout: a change of policy lies in one, the state before it in another. Each day
is played with each seed by every variant, so that the difference is taken between plays that only
the variant tells apart. The users' bench is a program given by its path; it leaves its own journal
in each checkout.

    python benchmarks/days.py --bench PROGRAM --site SITE --days scale-1,scale-2 --seeds 0,7 \
        before=../before after=../after

A seed of 0 stands for the day's own.
"""

import json
import statistics
import subprocess
import tempfile
from collections.abc import Iterable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from math import sqrt
from pathlib import Path

import click

DAY_TIMEOUT = 900
"""Seconds after which a play is given up; the longest seen, at 85 runners, took 600."""


@dataclass(frozen=True, slots=True)
class Play:
    """One day, to be played by one variant."""

    variant: str
    checkout: Path
    day: str
    seed: int


@dataclass(frozen=True, slots=True)
class Figures:
    """What a play earned. Shares lie between 0 and 1; `worth` is what the users go by."""

    worth: float
    parts: dict[str, float]
    prices: dict[str, float]
    late: int
    refused: int
    failed: int
    broken_rules: list[str]


class PlayError(Exception):
    """The bench gave no figures; the message is the end of what it printed."""


def play(bench: Path, site: Path, job: Play, options: tuple[str, ...]) -> Figures:
    """Play one day and return its figures; raises `PlayError`."""
    with tempfile.TemporaryDirectory() as folder:
        report = Path(folder) / "report.json"
        command = [str(bench), "run", str(site), job.day, "--report", str(report), *options]
        if job.seed:
            command += ["--seed", str(job.seed)]
        result = subprocess.run(
            command, cwd=job.checkout, capture_output=True, text=True, timeout=DAY_TIMEOUT
        )
        if not report.exists():
            raise PlayError((result.stdout + result.stderr)[-600:])
        return _figures(json.loads(report.read_text()))


def _figures(report: dict[str, object]) -> Figures:
    counts = report["all"]
    parts = report["parts"]
    prices = report["prices"]
    breaks = report["breaks"]
    assert isinstance(counts, dict)
    assert isinstance(parts, list)
    assert isinstance(prices, list)
    assert isinstance(breaks, dict)
    return Figures(
        worth=float(str(report["G"])),
        parts={name: value for name, _, value in parts},
        prices={name: worth for name, _, worth in prices if worth},
        late=counts["late"],
        refused=counts["refused"],
        failed=counts["failed"],
        broken_rules=sorted(breaks),
    )


def spread(values: list[float]) -> float:
    """Return the standard error of the mean, 0.0 for fewer than two values."""
    if len(values) < 2:
        return 0.0
    return statistics.stdev(values) / sqrt(len(values))


def compare(figures: dict[Play, Figures], first: str, other: str) -> str:
    """Return a line on how much more `other` earned than `first`, pair by pair."""
    before = {(p.day, p.seed): f.worth for p, f in figures.items() if p.variant == first}
    after = {(p.day, p.seed): f.worth for p, f in figures.items() if p.variant == other}
    differences = [after[key] - before[key] for key in before if key in after]
    if not differences:
        return f"{other} - {first}: no pair"
    mean = statistics.mean(differences)
    error = spread(differences)
    return f"{other} - {first}: {mean:+.4f} ± {error:.4f} ({len(differences)} pairs)"


def _row(name: str, figures: Figures) -> str:
    parts = " ".join(f"{value:.3f}" for value in figures.parts.values())
    prices = sum(figures.prices.values())
    counts = f"late {figures.late} refused {figures.refused} failed {figures.failed}"
    broken = f" BROKEN {','.join(figures.broken_rules)}" if figures.broken_rules else ""
    return f"{name:34} {figures.worth:.4f} = {parts} - {prices:.3f}; {counts}{broken}"


def _jobs(
    variants: Iterable[tuple[str, Path]], days: Iterable[str], seeds: list[int]
) -> list[Play]:
    named = list(variants)
    return [Play(name, path, day, seed) for day in days for seed in seeds for name, path in named]


def _play_all(
    bench: Path, site: Path, jobs: list[Play], options: tuple[str, ...], cores: int
) -> dict[Play, Figures]:
    figures: dict[Play, Figures] = {}
    with ThreadPoolExecutor(cores) as pool:
        futures = {job: pool.submit(play, bench, site, job, options) for job in jobs}
        for job, future in futures.items():
            name = f"{job.variant} {job.day} {job.seed}"
            try:
                figures[job] = future.result()
            except (PlayError, subprocess.TimeoutExpired) as problem:
                click.echo(f"{name}: no figures: {problem}")
                continue
            click.echo(_row(name, figures[job]))
    return figures


@click.command(help=__doc__)
@click.option("--bench", type=click.Path(path_type=Path, exists=True), required=True)
@click.option("--site", type=click.Path(path_type=Path, exists=True), required=True)
@click.option("--days", required=True, help="Names of days, with commas.")
@click.option("--seeds", default="0", help="Seeds, with commas; 0 is the day's own.")
@click.option("--cores", default=4, help="Days played at once.")
@click.option("--no-cpu", is_flag=True, help="Charge no processor time: plays then mostly repeat.")
@click.argument("variants", nargs=-1, required=True)
def main(
    bench: Path,
    site: Path,
    days: str,
    seeds: str,
    cores: int,
    no_cpu: bool,
    variants: tuple[str, ...],
) -> None:
    """Play and compare."""
    named = [(v.partition("=")[0], Path(v.partition("=")[2]).resolve()) for v in variants]
    for _, checkout in named:
        subprocess.run(
            [str(bench.resolve()), "build"], cwd=checkout, check=True, stdout=subprocess.DEVNULL
        )
    options = ("--no-cpu",) if no_cpu else ()
    jobs = _jobs(named, days.split(","), [int(seed) for seed in seeds.split(",")])
    figures = _play_all(bench.resolve(), site.resolve(), jobs, options, cores)
    for name, _ in named:
        worths = [f.worth for p, f in figures.items() if p.variant == name]
        if worths:
            click.echo(f"{name}: mean worth {statistics.mean(worths):.4f} of {len(worths)}")
    for name, _ in named[1:]:
        click.echo(compare(figures, named[0][0], name))


if __name__ == "__main__":
    main()

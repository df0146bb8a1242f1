"""What tasks that crash their runners cost, by the way in which their jobs are given up.

A fleet of the core's, simulated: 4 entries, 11 targets, sound jobs at a steady rate, and some jobs
of which one task crashes each runner that starts it. A runner is back after 3.4 s.

    PYTHONPATH=testing python benchmarks/crashing.py
"""

from dataclasses import dataclass
from random import Random

import click
from leasedfleet import Fleet
from paddleshunt_core.leased import retries
from paddleshunt_core.leased.outcomes import Completed, Failed
from paddleshunt_core.leased.retries import MAX_LOST_RUNS

KINDS = ((8, 0.06), (4, 0.9), (2, 0.2))
"""Sound jobs: tasks, and seconds of each; drawn by `WEIGHTS`."""

WEIGHTS = (34, 6, 100)
OBJECTIVE = (1.6, 0.06)
"""A job is in time within so many times its length and so many seconds."""

SECONDS = 12.0
BAD_BETWEEN = (1.0, 7.0)
DEADLINE = 3.5
NEVER = 10**6


WAYS = {"never": NEVER, "three": 3, "two": 2}
"""Runners lost under a task after which its job is given up."""


@dataclass
class Outcome:
    """What one play showed."""

    crashes: int = 0
    bad: int = 0
    bad_failed: int = 0
    sound: int = 0
    wrongly_failed: int = 0
    completed: int = 0
    in_time: int = 0
    rule_broken: int = 0


def play(seed: int, rate: float, bad_jobs: int, after: tuple[float, float]) -> Outcome:
    """Play one seed; `after`: seconds of work, drawn evenly, after which a bad task crashes."""
    rng = Random(seed)
    fleet = Fleet(entries=4, targets=11)
    fleet.check = lambda: None
    fleet.settle()
    arrivals = [(at, False) for at in _arrivals(rng, rate)]
    arrivals += [(rng.uniform(*BAD_BETWEEN), True) for _ in range(bad_jobs)]
    sound: dict[int, tuple[float, float]] = {}
    bad: list[int] = []
    began = fleet.now
    for number, (at, is_bad) in enumerate(sorted(arrivals)):
        while fleet.now < began + at:
            fleet.step()
        entry = f"e{rng.randrange(4)}"
        ((count, length),) = rng.choices(KINDS, WEIGHTS)
        if is_bad:
            work = {"count": 8, "length": 0.5, "deadline": DEADLINE}
            bad.append(fleet.submit_crashing(entry, f"bad{number}", rng.uniform(*after), **work))
            continue
        caller = fleet.submit(entry, f"job{number}", count=count, length=length, deadline=DEADLINE)
        sound[caller] = (fleet.now, length)
    fleet.run(DEADLINE + 0.5)
    return _judge(fleet, sound, bad)


def _arrivals(rng: Random, rate: float) -> list[float]:
    times = [rng.expovariate(rate)]
    while times[-1] < SECONDS:
        times.append(times[-1] + rng.expovariate(rate))
    return times


def _judge(fleet: Fleet, sound: dict[int, tuple[float, float]], bad: list[int]) -> Outcome:
    outcome = Outcome(sum(fleet.crashes.crashed.values()), len(bad))
    outcome.rule_broken = len(fleet.crashes.broken())
    outcome.bad_failed = sum(isinstance(fleet.answers.get(caller), Failed) for caller in bad)
    outcome.sound = len(sound)
    for caller, (sent, length) in sound.items():
        answer = fleet.answers.get(caller)
        outcome.wrongly_failed += isinstance(answer, Failed)
        if isinstance(answer, Completed):
            outcome.completed += 1
            stretch, latency = OBJECTIVE
            outcome.in_time += fleet.answered_at[caller] - sent <= stretch * length + latency
    return outcome


def _choose(lost_runners: int) -> None:
    """Let the core give up after so many."""
    retries.MAX_LOST_RUNNERS = lost_runners
    retries.MAX_LOST_RUNS = max(lost_runners, MAX_LOST_RUNS)


@click.command()
@click.option("--seeds", default=3)
@click.option("--rate", default=45.0, help="Sound jobs a second.")
@click.option("--bad", default=4, help="Jobs with a crashing task.")
def main(seeds: int, rate: float, bad: int) -> None:
    """Print a line for each way and each moment of the crash."""
    for name, after in {"after 10 ms": (0.01, 0.01), "at any moment": (0.01, 0.45)}.items():
        click.echo(f"crash {name}; {bad} bad jobs, {rate:g} sound jobs a second, {seeds} seeds")
        for label, lost_runners in WAYS.items():
            _choose(lost_runners)
            plays = [play(seed, rate, bad, after) for seed in range(seeds)]
            total = {field: sum(getattr(p, field) for p in plays) for field in vars(plays[0])}
            click.echo(
                f"  {label:6} runners lost a bad job {total['crashes'] / total['bad']:.2f},"
                f" bad failed {total['bad_failed']}/{total['bad']},"
                f" sound in time {total['in_time'] / total['sound']:.3f}"
                f" completed {total['completed'] / total['sound']:.3f}"
                f" wrongly failed {total['wrongly_failed']}/{total['sound']},"
                f" rule broken {total['rule_broken']}"
            )


if __name__ == "__main__":
    main()

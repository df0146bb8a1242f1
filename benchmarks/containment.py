"""What a queue whose tasks crash runners costs the others, by the way in which it is contained.

A fleet of the core's, simulated: 4 entries, 11 targets of 8 slots, three queues. For ten seconds a
tenth of one queue's jobs has a task that crashes each runner that starts it; or runners crash on
their own, or fall silent and answer again, which must confine nobody; or both. One that crashed
is back after 3.4 s.

    PYTHONPATH=testing python benchmarks/containment.py
"""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from multiprocessing import Pool
from random import Random
from typing import Any, ClassVar, final

import click
from leasedfleet import Fleet
from paddleshunt_core.leased import bulkhead, dispatcher
from paddleshunt_core.leased.catalog import Queue
from paddleshunt_core.leased.containment import Containment
from paddleshunt_core.leased.jobs import JobRecord
from paddleshunt_core.leased.outcomes import Completed, Failed, Refused
from paddleshunt_core.leased.targets import TargetRecord
from paddleshunt_core.leased.wire import LossUpdate


def _queue(name: str, priority: int) -> Queue:
    return Queue(name, "host", f"/{name}/", "svc", priority, 2, 1.6, 0.06)


GUILTY = "short"
KINDS = {"short": (8, 0.06), "long": (4, 0.9), "usual": (2, 0.2)}
"""Tasks of a job of each queue, and seconds of each."""

QUEUES = {"short": _queue("short", 0), "long": _queue("long", 2), "usual": _queue("usual", 1)}
WEIGHTS = (34, 6, 100)
SECONDS = 16.0
BAD = (2.0, 12.0)
BAD_SHARE = 0.1
DEADLINE = 3.5


class Way(Containment):
    """A way to contain a queue; this one is the product's."""

    confined: ClassVar[list[str]] = []
    """Queues that any entry has confined."""

    def learn(self, now: float, news: LossUpdate, targets: Any) -> Any:
        """Follow a word, and note which queues that confines."""
        is_news, logs = super().learn(now, news, targets)
        self.confined.extend(str(log.fields["queue"]) for log in logs)
        return is_news, logs


@final
class Never(Way):
    """Nothing is contained."""

    def learn(self, now: float, news: LossUpdate, targets: Any) -> Any:
        """Note nothing."""
        return False, []


class Alone(Way):
    """A confined queue's jobs start on idle targets only, and may do so on any."""

    def targets(self, job: JobRecord, usable: list[TargetRecord]) -> list[TargetRecord]:
        """Return the idle targets."""
        if self.is_confined(job.queue):
            return [target for target in usable if target.load == 0.0]
        return super().targets(job, usable)


class NotAtAll(Way):
    """The other queues never use a bulkhead."""

    def targets(self, job: JobRecord, usable: list[TargetRecord]) -> list[TargetRecord]:
        """Return the targets beside all bulkheads."""
        found = super().targets(job, usable)
        if self.is_confined(job.queue):
            return found
        walled = {name for c in self._confined.values() for name in c.bulkhead.members}
        return [target for target in found if target.name not in walled]


class Refuse(Way):
    """A confined queue is refused until its time is over."""

    def targets(self, job: JobRecord, usable: list[TargetRecord]) -> list[TargetRecord]:
        """Return no target."""
        return [] if self.is_confined(job.queue) else super().targets(job, usable)


class Tries(Way):
    """A job of a confined queue that met a lost runner is tried again like others."""

    def holds(self, job: JobRecord) -> bool:
        """Hold nothing."""
        return False


WAYS: dict[str, tuple[type[Way], float]] = {
    "never": (Never, 0.125),
    "one": (Way, 0.125),
    "two": (Way, 0.2),
    "three": (Way, 0.25),
    "not-at-all": (NotAtAll, 0.2),
    "tries": (Tries, 0.2),
    "alone": (Alone, 0.2),
    "refuse": (Refuse, 0.2),
}


@dataclass
class Outcome:
    """What plays showed, by queue."""

    sent: Counter[str] = field(default_factory=Counter)
    in_time: Counter[str] = field(default_factory=Counter)
    completed: Counter[str] = field(default_factory=Counter)
    refused: Counter[str] = field(default_factory=Counter)
    failed: Counter[str] = field(default_factory=Counter)
    other: Counter[str] = field(default_factory=Counter)


def _all_at_once(fleet: Fleet, at: float, rng: Random) -> list[str]:
    return sorted(fleet.runners) if any(abs(at - t) < 0.005 for t in (3.0, 8.0)) else []


def _rack(fleet: Fleet, at: float, rng: Random) -> list[str]:
    down = any(abs(at - t) < 0.005 for t in (3.0, 4.5, 8.0))
    return rng.sample(sorted(fleet.runners), 4) if down else []


def _by_turns(fleet: Fleet, at: float, rng: Random) -> list[str]:
    due = 2.0 < at < 12.0 and rng.random() < 0.01 / 0.7
    return [rng.choice(sorted(fleet.runners))] if due else []


def _flapping(fleet: Fleet, at: float, rng: Random) -> list[str]:
    due = 2.0 < at < 12.0 and rng.random() < 0.01 / 0.5
    return [rng.choice(["t1", "t2", "t3"])] if due else []


def _nothing(fleet: Fleet, at: float, rng: Random) -> list[str]:
    return []


SOUND: dict[str, Callable[[Fleet, float, Random], list[str]]] = {
    "all at once, twice": _all_at_once,
    "four at once, three times": _rack,
    "one each 0.7 s": _by_turns,
    "three that flap": _flapping,
}


@final
class Silences:
    """Runners that fall silent for a while each, and answer again; all of them, or a few."""

    def __init__(self, seed: int, names: list[str]) -> None:
        self._rng = Random(f"silences {seed}")
        self._next = {name: BAD[0] + self._rng.uniform(0.0, 0.5) for name in names}
        """When each falls silent, or answers again."""

    def follow(self, fleet: Fleet, at: float) -> None:
        """Let those fall silent, or answer, whose time it is."""
        for name, due in self._next.items():
            if at < due or (at > BAD[1] and not fleet.runners[name].mute):
                continue
            mute = fleet.runners[name].mute = not fleet.runners[name].mute
            self._next[name] = at + self._rng.uniform(*(SILENT if mute else ANSWERS))


SILENT = (0.1, 1.0)
"""Seconds for which a runner falls silent."""

ANSWERS = (0.1, 0.8)
"""Seconds for which it answers then."""

QUIET: dict[str, tuple[str, ...]] = {
    "": (),
    "all": tuple(f"t{n}" for n in range(11)),
    "three": ("t1", "t2", "t3"),
    "one": ("t1",),
}
"""Runners that fall silent, by the name of the case."""


def play(
    way: str, seed: int, rate: float, after: tuple[float, float], crash: str, silent: str
) -> tuple[Outcome, int, int]:
    """Play one seed; return answers, runners lost, and wrong confinements at all entries."""
    rng = Random(seed)
    dispatcher.Containment, bulkhead.SHARE = WAYS[way]  # type: ignore[misc]
    Way.confined.clear()
    fleet = Fleet(entries=4, targets=11)
    fleet.check = lambda: None  # type: ignore[method-assign]
    fleet.settle()
    began, number, due = fleet.now, 0, 0.0
    sound: dict[int, tuple[float, str]] = {}
    silences = Silences(seed, list(QUIET[silent]))
    while fleet.now < began + SECONDS:
        fleet.step()
        at = fleet.now - began
        silences.follow(fleet, at)
        for name in SOUND.get(crash, _nothing)(fleet, at, rng):
            if fleet.runners[name].up:
                fleet.runners[name].crash()
                fleet.runners[name].crashed_at = fleet.now
        while due < at:
            due += rng.expovariate(rate)
            number += 1
            (name,) = rng.choices(list(KINDS), WEIGHTS)
            count, length = KINDS[name]
            entry = f"e{rng.randrange(4)}"
            work: dict[str, Any] = {"count": count, "length": length, "deadline": DEADLINE}
            work["queue"] = QUEUES[name]
            bad = name == GUILTY and BAD[0] < at < BAD[1] and rng.random() < BAD_SHARE
            if bad and not crash:
                work["length"] = 0.5
                fleet.submit_crashing(entry, f"bad{number}", rng.uniform(*after), **work)
                continue
            sound[fleet.submit(entry, f"job{number}", **work)] = (fleet.now, name)
    fleet.run(DEADLINE + 0.5)
    wrongly = sum(crash != "" or name != GUILTY for name in Way.confined)
    return _judge(fleet, sound, began), sum(fleet.crashes.crashed.values()), wrongly


def _judge(fleet: Fleet, sound: dict[int, tuple[float, str]], began: float) -> Outcome:
    outcome = Outcome()
    for caller, (sent, name) in sound.items():
        if not began + BAD[0] < sent < began + BAD[1]:
            continue
        answer = fleet.answers.get(caller)
        outcome.sent[name] += 1
        if isinstance(answer, Completed):
            outcome.completed[name] += 1
            aim = 1.6 * KINDS[name][1] + 0.06
            outcome.in_time[name] += fleet.answered_at[caller] - sent <= aim
        elif isinstance(answer, Refused):
            outcome.refused[name] += 1
        elif isinstance(answer, Failed):
            outcome.failed[name] += 1
        else:
            outcome.other[name] += 1
    return outcome


def _play(args: tuple[str, int, float, tuple[float, float], str, str]) -> Any:
    return play(*args)


def _line(plays: list[tuple[Outcome, int, int]]) -> str:
    total = {f: sum((getattr(p, f) for p, _, _ in plays), Counter()) for f in vars(Outcome())}
    shares = []
    for label, names in {"guilty": [GUILTY], "innocent": sorted(set(KINDS) - {GUILTY})}.items():
        count = {f: sum(total[f][name] for name in names) for f in total}
        parts = [f"{f} {count[f] / count['sent']:.3f}" for f in count if f != "sent"]
        shares.append(f"{label}: {', '.join(parts)}")
    lost = "/".join(str(lost) for _, lost, _ in plays)
    wrongly = "/".join(str(wrongly) for _, _, wrongly in plays)
    return f"lost {lost}, wrong confinements at 4 entries {wrongly}; {'; '.join(shares)}"


@click.command()
@click.option("--seeds", default=3)
@click.option("--rate", default=60.0, help="Jobs a second.")
@click.option("--ways", default=",".join(WAYS))
@click.option("--sound/--guilty", default=False, help="Runners that crash on their own.")
@click.option("--silent", type=click.Choice(list(QUIET)), default="", help="These fall silent.")
@click.option("--calm", is_flag=True, help="No runner crashes.")
@click.option("--jobs", default=2)
def main(
    seeds: int, rate: float, ways: str, sound: bool, silent: str, calm: bool, jobs: int
) -> None:
    """Print a line for each way and each moment of the crash."""
    moments = {"after 10 ms": (0.01, 0.01), "at any moment": (0.01, 0.45)}
    cases: list[tuple[str, tuple[float, float], str]]
    if calm:
        cases = [("no crash", (0.0, 0.0), "none")]
    elif sound:
        cases = [(name, (0.0, 0.0), name) for name in SOUND]
    else:
        cases = [(name, after, "") for name, after in moments.items()]
    with Pool(jobs) as pool:
        for label, after, crash in cases:
            beside = f"; {silent} fall silent" if silent else ""
            click.echo(f"{label}{beside}; {rate:g} jobs a second, {seeds} seeds")
            for way in ways.split(","):
                todo = [(way, seed, rate, after, crash, silent) for seed in range(seeds)]
                click.echo(f"  {way:10} {_line(pool.map(_play, todo, 1))}")


if __name__ == "__main__":
    main()

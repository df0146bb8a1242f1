"""What callers and runners of a soak saw, and the rules that it must have kept.

All times are seconds of this process's steady clock. A run's end is the moment from which nothing
of it can be at work, also if it is noted later: a busy machine must not make two runs overlap on
paper.
"""

from dataclasses import dataclass, field
from time import monotonic

from soakconfig import MAX_ATTEMPTS

EVACUATION_SECONDS = 5.0
"""Seconds from the operator's word after which nothing may start in an evacuated hall."""


DRAIN_SECONDS = 2.0
"""Seconds from an acknowledged word that a runner leaves after which nothing may start there."""

GONE_SECONDS = 3.0
"""Seconds after which nothing of a job is at work whose caller has left or was answered, or after
a late start of it: the least `cancel_ms` and `contact_ms` of the users' pages."""

COUNTED_CRASHES = 3
"""Runners that a task may crash before its further starts are counted."""

FORBIDDEN_START = 3
"""Which start after those breaks the rule."""

CRASHED = "crashed its runner"
"""How a run ended that took its runner down."""

DIED = "died"
"""How a run ended whose runner ended by something else."""

FAILED = "failed"
"""How a run ended by its own fault, and what a caller is told of a job with such a task."""


@dataclass
class RunSeen:
    """One run at a runner."""

    task: str
    number: int
    runner: str
    began: float
    lease_end: float
    """When the runner's lease ends, as far as it has been prolonged."""
    due: float
    """When its work is done."""
    late: bool = False
    """Whether the order was carried out late: no bound of time holds for it."""
    end: float | None = None
    how: str = ""
    noted: bool = False
    """Whether its target has acknowledged its end."""
    notes: list[str] = field(default_factory=list)

    def at_work(self, now: float) -> bool:
        """Whether it is at work."""
        return self.end is None and now < min(self.lease_end, self.due)

    def describe(self, origin: float) -> str:
        """Return its life in one line, with times from `origin`."""
        end = "at work" if self.end is None else f"{self.how} {self.end - origin:+.3f}"
        notes = f" ({'; '.join(self.notes)})" if self.notes else ""
        return f"run {self.number} at {self.runner} {self.began - origin:+.3f}, {end}{notes}"


@dataclass
class TrySeen:
    """One try of a caller to hand a job in."""

    job: str
    entry: str
    sent: float
    outcome: str = ""
    ended: float = 0.0


@dataclass(frozen=True)
class Violation:
    """A broken rule."""

    rule: str
    at: float
    text: str


class Record:
    """All that was seen in one soak."""

    def __init__(self) -> None:
        self.runs: dict[str, list[RunSeen]] = {}
        self.tries: dict[str, list[TrySeen]] = {}
        self.tasks: dict[str, int] = {}
        """How many tasks each job that was sent has."""
        self.violations: list[Violation] = []
        self.halls: dict[str, str] = {}
        """Where each runner stands."""
        self._evacuated: dict[str, float] = {}
        """Since when a hall is evacuated."""
        self._leaving: dict[str, float] = {}
        """Since when a target has acknowledged that its runner leaves."""
        self._versions: dict[tuple[str, str], int] = {}

    def sent(self, job: str, tasks: int, entry: str, now: float) -> TrySeen:
        """Note that a caller hands a job in."""
        self.tasks[job] = tasks
        seen = TrySeen(job, entry, now)
        self.tries.setdefault(job, []).append(seen)
        return seen

    def started(self, run: RunSeen) -> None:
        """Note a start, and what is wrong with it."""
        job, *_, index = run.task.split(".")
        if int(index) >= self.tasks.get(job, 0):
            self._broken("UNASKED", run.began, f"{run.task}: no caller sent it")
        since = self._evacuated.get(self.halls.get(run.runner, ""))
        if since is not None and run.began > since + EVACUATION_SECONDS:
            text = f"{run.task}: started at {run.runner} {run.began - since:.3f} s after the word"
            self._broken("EVAC", run.began, text)
        since = self._leaving.get(run.runner)
        if since is not None and not run.late and run.began > since + DRAIN_SECONDS:
            text = f"{run.task}: started at {run.runner} {run.began - since:.3f} s after the word"
            self._broken("DRAIN", run.began, text)
        earlier = self.runs.setdefault(run.task, [])
        for other in earlier:
            if other.at_work(run.began):
                text = f"{run.task}: {run.describe(run.began)}; {other.describe(run.began)}"
                self._broken("TWICE", run.began, text)
        earlier.append(run)
        self._check_budget(run, earlier)

    def evacuated(self, hall: str, now: float) -> None:
        """Note the operator's word that a hall is to get nothing more."""
        self._evacuated[hall] = now

    def acknowledged(self, runner: str, now: float) -> None:
        """Note that a target has acknowledged that its runner leaves."""
        self._leaving.setdefault(runner, now)

    def serves_again(self, runner: str) -> None:
        """Note that a runner has started again, or its target: it may have heard nothing yet."""
        self._leaving.pop(runner, None)

    def taken_back(self, hall: str) -> None:
        """Note that a hall may get work again."""
        self._evacuated.pop(hall, None)

    def over_capacity(self, runner: str, now: float, used: int, capacity: int) -> None:
        """Note that a start brought a runner over its capacity."""
        self._broken("LIMIT", now, f"{runner}: {used} of {capacity}")

    def finish(self) -> list[Violation]:
        """Check what only the end shows, and return all that is wrong."""
        for job, tries in self.tries.items():
            ran = any(task.startswith(f"{job}.") for task in self.runs)
            if ran and all(seen.outcome == "refused" for seen in tries):
                self._broken("REFUSED", tries[0].sent, f"{job}: every try was refused, and it ran")
            if any(seen.outcome == "completed" for seen in tries):
                self._check_complete(job, tries)
            for seen in tries:
                if seen.outcome == FAILED:
                    self._check_failed(seen)
            self._check_gone(job, tries)
        return self.violations

    def version_seen(self, entry: str, life: str, version: int) -> None:
        """Note which configuration is in force in one life of an entry; it never goes back."""
        before = self._versions.get((entry, life), 0)
        if version < before:
            self._broken("CONFIG", monotonic(), f"{entry} went back from {before} to {version}")
        self._versions[entry, life] = max(before, version)

    def ended(self, process: str, code: int) -> None:
        """Note that a process ended by itself."""
        self._broken("ENDED", monotonic(), f"{process} ended by itself with {code}")

    @property
    def starts(self) -> int:
        """Runs that were started."""
        return sum(len(runs) for runs in self.runs.values())

    def outcomes(self) -> dict[str, int]:
        """Return how many tries had each outcome."""
        counts: dict[str, int] = {}
        for tries in self.tries.values():
            for seen in tries:
                counts[seen.outcome] = counts.get(seen.outcome, 0) + 1
        return dict(sorted(counts.items()))

    def _check_budget(self, run: RunSeen, runs: list[RunSeen]) -> None:
        crashed = [seen for seen in runs if seen.how == CRASHED]
        if len(crashed) < COUNTED_CRASHES:
            return
        counted = crashed[COUNTED_CRASHES - 1]
        after = [seen for seen in runs if seen.began > (counted.end or counted.began)]
        if len(after) == FORBIDDEN_START:
            ways = "; ".join(seen.describe(run.began) for seen in runs)
            self._broken("BUDGET", run.began, f"{run.task}: {ways}")

    def _check_gone(self, job: str, tries: list[TrySeen]) -> None:
        if not all(seen.outcome for seen in tries):
            return
        over = max(seen.ended for seen in tries)
        for task, runs in self.runs.items():
            for run in runs if task.startswith(f"{job}.") else ():
                last = min(run.lease_end, run.due if run.end is None else run.end)
                if last > max(over, run.began) + GONE_SECONDS:
                    text = f"{task}: {run.describe(over)} counted from its caller's end"
                    self._broken("UNASKED", last, text)

    def _check_complete(self, job: str, tries: list[TrySeen]) -> None:
        done = {t for t, runs in self.runs.items() if any(r.how == "done" for r in runs)}
        count = sum(task.startswith(f"{job}.") for task in done)
        if count < self.tasks[job]:
            text = f"{job}: answered as complete, {count} of {self.tasks[job]} tasks were done"
            self._broken("PARTIAL", tries[-1].ended, text)

    def _check_failed(self, told: TrySeen) -> None:
        """Check that what was seen until a caller was told that its job failed bears that out."""
        seen = {t: runs for t, runs in self.runs.items() if t.startswith(f"{told.job}.")}
        if any(self._has_failed(runs, told.ended) for runs in seen.values()):
            return
        ways = "; ".join(
            f"{task}: {run.describe(told.ended)}" for task, runs in seen.items() for run in runs
        )
        text = f"{told.job}: shown as failed by {told.entry}, and no task has failed so often"
        self._broken("LOST", told.ended, f"{text}: {ways or 'none was started'}")

    def _has_failed(self, runs: list[RunSeen], now: float) -> bool:
        """Whether a task's runs have; no process can know that one ended with its runner."""
        ways = [run.how for run in runs if run.end is not None and run.end <= now]
        return ways.count(FAILED) >= MAX_ATTEMPTS

    def _broken(self, rule: str, at: float, text: str) -> None:
        self.violations.append(Violation(rule, at, text))

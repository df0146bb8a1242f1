"""The runs that a target knows of, and the resources that they use on its runner."""

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum, auto
from typing import final

from paddleshunt_core.leased.resources import NO_RESOURCES, Resources
from paddleshunt_core.leased.wire import End, RunId, TaskId


class Phase(Enum):
    """State of a run; in each of these it uses resources."""

    STARTING = auto()
    RUNNING = auto()
    STOPPING = auto()


@final
@dataclass(slots=True)
class Run:
    """One run: its entry, its needs and its progress. Times are steady seconds."""

    id: RunId
    entry: str
    spec: str
    need: Resources
    estimate: float
    expires: float
    queue: str = ""
    decided_at: float = 0.0
    """Time at which its start was decided."""
    phase: Phase = Phase.STARTING
    ordered_at: float = 0.0
    """Time at which the last order about it was sent."""
    confirmed_at: float | None = None
    """Time at which the runner confirmed that order; None until then."""
    unanswered_at: float | None = None
    """Time at which its start turned out unanswered; None if answered, or listed since."""
    stalled_polls: int = 0
    """Consecutive polls that showed no progress."""
    percent: int = 0
    unreported_work: float = 0.0
    """Seconds of work counted beyond `percent`, at most one percent of the estimate."""
    progressed_at: float = 0.0
    """Time at which `percent` last increased."""
    observed_at: float = 0.0
    """Time of the state that the last poll showed."""
    end_after_stop: End = End.STOPPED
    """The end to report to the entry once it is stopped."""
    unwanted_since: float = 0.0
    """Time since which it has been unwanted, if it is being stopped."""
    has_started: bool = False
    """Whether it is known to have started: its start was answered, or a poll listed it."""
    may_have_ended: bool = False
    """Whether a listed end may be its own, so that it can't be reported as not started."""

    is_orphaned: bool = False
    """Whether the incarnation it was ordered from has ended, and the next one may yet run it."""

    def orphan(self, now: float) -> None:
        """Mark the run as orphaned: if the next incarnation runs it, it must stop."""
        self.phase = Phase.STOPPING
        self.unwanted_since = self.confirmed_at = now
        self.unanswered_at = None
        self.end_after_stop = End.LOST
        self.is_orphaned = True

    def record_unread_end(self) -> None:
        """Record that an end was listed whose run could not be read."""
        self.may_have_ended = True
        if self.end_after_stop is End.NOT_STARTED:
            self.end_after_stop = End.LOST

    def mark_running(self, now: float) -> None:
        """Mark the run as running; the time before is not counted against its runner."""
        self.phase = Phase.RUNNING
        self.has_started = True
        self.progressed_at = self.observed_at = now


@final
class RunTable:
    """All runs of one runner."""

    def __init__(self) -> None:
        self._runs: dict[RunId, Run] = {}
        self._tasks: Counter[TaskId] = Counter()
        self._entries: Counter[str] = Counter()
        self.used = NO_RESOURCES

    def __len__(self) -> int:
        return len(self._runs)

    def __contains__(self, run: object) -> bool:
        return run in self._runs

    def __iter__(self) -> Iterator[Run]:
        return iter(list(self._runs.values()))

    def get(self, run: RunId) -> Run | None:
        """Return the run, if it is known."""
        return self._runs.get(run)

    def add(self, run: Run) -> None:
        """Add a run and count its need as used from now on."""
        self._runs[run.id] = run
        self._tasks[run.id.task] += 1
        self._entries[run.entry] += 1
        self.used += run.need

    def drop(self, run: Run) -> None:
        """Remove a run and free what it used."""
        del self._runs[run.id]
        self._tasks[run.id.task] -= 1
        self._entries[run.entry] -= 1
        if not self._tasks[run.id.task]:
            del self._tasks[run.id.task]
        self.used -= run.need

    def has_task(self, task: TaskId) -> bool:
        """Whether any run of a task is known."""
        return task in self._tasks

    def has_entry(self, entry: str) -> bool:
        """Whether any run of an entry is known."""
        return self._entries[entry] > 0

    def of_entry(self, entry: str) -> list[Run]:
        """Return the runs of an entry."""
        return [run for run in self._runs.values() if run.entry == entry]

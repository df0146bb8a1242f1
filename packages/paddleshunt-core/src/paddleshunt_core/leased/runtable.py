"""The runs that a target knows of, and the room that they take on its runner."""

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum, auto
from typing import final

from paddleshunt_core.leased.resources import NO_RESOURCES, Resources
from paddleshunt_core.leased.wire import End, RunId, TaskId


class Phase(Enum):
    """Where a run is on its way; in each of these it takes room."""

    STARTING = auto()
    RUNNING = auto()
    STOPPING = auto()


@final
@dataclass(slots=True)
class Run:
    """One run: whose it is, what it needs, and how far it is. Times are steady seconds."""

    id: RunId
    entry: str
    spec: str
    need: Resources
    estimate: float
    expires: float
    queue: str = ""
    began: float = 0.0
    """When its start was decided."""
    phase: Phase = Phase.STARTING
    ordered: float = 0.0
    """When the last order about it was sent."""
    settled: float | None = None
    """When the runner confirmed that order; None while it has not."""
    doubted: float | None = None
    """When an order to start got no answer; None if it did, or was seen at work since."""
    still: int = 0
    """Looks in a row that showed no progress."""
    percent: int = 0
    ahead: float = 0.0
    """Seconds beyond `percent` that it may have done and that are counted, up to a hundredth."""
    moved: float = 0.0
    """When `percent` last rose."""
    seen: float = 0.0
    """Which moment the last look at `percent` showed."""
    ending: End = End.STOPPED
    """What to tell the entry once a stop is done."""
    unwanted: float = 0.0
    """Since when nobody has a right to it, if it is being stopped."""
    at_work: bool = False
    """Whether it is known to have begun: its start was answered, or a look showed it."""
    may_have_ended: bool = False
    """Whether an end was listed that may be its own: it can't be said to have never run."""

    outlived: bool = False
    """Whether the life that it was ordered of has ended, and the next one may have it yet."""

    def outlive(self, now: float) -> None:
        """Note that its life has ended: if the next one under the same id has it, it must stop."""
        self.phase = Phase.STOPPING
        self.unwanted = self.settled = now
        self.doubted = None
        self.ending = End.LOST
        self.outlived = True

    def note_unread_end(self) -> None:
        """Note that an end was listed of which the run could not be read."""
        self.may_have_ended = True
        if self.ending is End.NOT_STARTED:
            self.ending = End.LOST

    def begin(self, now: float) -> None:
        """Note that it is known to be at work; what passed before that is not its runner's time."""
        self.phase = Phase.RUNNING
        self.at_work = True
        self.moved = self.seen = now


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
        """Forget a run and free what it used."""
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
        """Return the runs of one entry's session."""
        return [run for run in self._runs.values() if run.entry == entry]

"""A fake runner of leased runs, in steps: room, leases and ends, with faults that a test sets."""

from collections import Counter
from dataclasses import dataclass, field

from paddleshunt_core.leased.orders import (
    FinishedRun,
    PollAnswer,
    RunEnd,
    RunningRun,
    StartAnswer,
    StartRun,
)
from paddleshunt_core.leased.resources import NOTHING, Resources
from paddleshunt_core.leased.runnerincarnation import RunnerIncarnation
from paddleshunt_core.leased.wire import RunId, TaskId

FIRST_BORN = 1_764_000_000_000
"""When the first lives started, in milliseconds since 1970."""

COLD_OVERRUN = 1.5
"""How many times as long a task takes on a cold runner."""

SHRUNK_SECONDS = 0.4
"""Seconds until a room that has shrunk counts: a heartbeat of the fleet, and a little."""


@dataclass
class RunnerTask:
    """A run at work on a fake runner."""

    need: Resources
    length: float
    done: float = 0.0


COUNTED_CRASHES = 3
"""Runners that a task may crash before its further starts are counted."""

FORBIDDEN_START = 3
"""Which start after those breaks the rule."""


@dataclass
class Crashes:
    """Tasks that crash the runner that starts them, and what became of any task on all runners."""

    after: dict[TaskId, float] = field(default_factory=dict)
    """Seconds of work after which such a task takes its runner down."""
    crashed: Counter[TaskId] = field(default_factory=Counter)
    started_after: Counter[TaskId] = field(default_factory=Counter)
    failed: Counter[TaskId] = field(default_factory=Counter)
    """Runs of a task that ended as failed."""

    def started(self, task: TaskId) -> None:
        """Note a start of any task."""
        if self.crashed[task] >= COUNTED_CRASHES:
            self.started_after[task] += 1

    def broken(self) -> list[str]:
        """Return the tasks that were started too often after they had crashed three runners."""
        return [str(t) for t, count in self.started_after.items() if count >= FORBIDDEN_START]


class Runner:
    """A fake runner: room, leases, ends; it can hang, fail, slow down, die and answer late."""

    def __init__(
        self, capacity: Resources, lengths: dict[str, float], crashes: Crashes | None = None
    ) -> None:
        self.capacity = capacity
        self.guards = True
        """Whether it rejects what doesn't fit; otherwise it starts whatever it is told."""
        self.overfilled: list[tuple[float, RunId]] = []
        """Starts that brought it over its capacity."""
        self._before: tuple[float, Resources] = (float("-inf"), capacity)
        """When the capacity changed last, and what it was before."""
        self.lengths = lengths
        self.crashes = crashes or Crashes()
        self.crashed_at: float | None = None
        """When a task took it down; None if none has since it was started last."""
        self.needs: dict[RunId, Resources] = {}
        self.up = True
        self.life = 1
        self.id_number = 1
        """Rises with each life that has an id of its own."""
        self.born = FIRST_BORN
        """When this life started, by its host's clock; 0 if the runner doesn't tell."""
        self.token = 0
        """The highest token that this life has seen."""
        self.speed = 1.0
        self.cold_until = 0.0
        """Until when it works at 1 / `COLD_OVERRUN` of its speed, as after a start."""
        self.leaving = False
        """Whether its heartbeats say that its end is planned."""
        self.kind = ""
        self.labels: tuple[str, ...] = ()
        self.fails = False
        self.mute = False
        self.refuses = False
        self.loses_answers = False
        self.loses_stops = False
        self.stop_seconds = 0.0
        """Seconds for which a run works on after an order to stop it."""
        self.late: float | None = None
        self.starts: Counter[TaskId] = Counter()
        self.rejected = 0
        self.clear()

    def resize(self, now: float, capacity: Resources) -> None:
        """Change the capacity while it runs."""
        self._before = (now, self.capacity)
        self.capacity = capacity

    def _counts(self, now: float) -> Resources:
        """Return the capacity that a start is judged by: one that has shrunk counts later."""
        changed, before = self._before
        return before if now < changed + SHRUNK_SECONDS else self.capacity

    def clear(self) -> None:
        self.running: dict[RunId, RunnerTask] = {}
        self.stopping: dict[RunId, float] = {}
        """When a run that was told to stop ends."""
        self.finished: list[FinishedRun] = []
        self.ended: set[RunId] = set()
        self.lease_until = 0.0
        self.count = 0
        self.token = 0

    def crash(self) -> None:
        self.clear()
        self.up = False

    def restart(self, *, same_id: bool = False, later_ms: int = 1000) -> None:
        """Start another life, which bears the old id or a new one.

        Its host's clock says that it started so much later; earlier, if the clock was set back.
        """
        self.clear()
        self.up = True
        self.leaving = False
        self.life += 1
        self.id_number += not same_id
        self.born += later_ms if self.born else 0
        self.crashed_at = None

    def named(self, name: str) -> RunnerIncarnation:
        """Return what the runner of a target says it is."""
        return RunnerIncarnation(f"{name}-{self.id_number}", self.born)

    def hears(self, token: int) -> bool:
        """Take note of a call's token; return whether the call is in force."""
        if token < self.token:
            return False
        self.token = token
        return True

    @property
    def used(self) -> Resources:
        total = NOTHING
        for task in self.running.values():
            total += task.need
        return total

    def step(self, now: float, seconds: float) -> None:
        if now > self.lease_until:
            for run in list(self.running):
                self._end(run, RunEnd.LAPSED)
        for run, end in list(self.stopping.items()):
            if now >= end and run in self.running:
                self._end(run, RunEnd.STOPPED)
        for run, task in list(self.running.items()):
            task.done += seconds * self.speed / (COLD_OVERRUN if now < self.cold_until else 1.0)
            if task.done >= self.crashes.after.get(run.task, float("inf")):
                self.crashes.crashed[run.task] += 1
                self.crash()
                self.crashed_at = now
                return
            if task.done >= task.length:
                self._end(run, RunEnd.FAILED if self.fails else RunEnd.DONE)

    def start(self, now: float, order: StartRun, token: int | None = None) -> StartAnswer:
        if self.refuses:
            return StartAnswer.NOT_SENT
        if token is not None and not self.hears(token):
            return StartAnswer.FENCED
        if now > order.until:
            return StartAnswer.LATE
        self.lease_until = max(self.lease_until, order.until)
        run = order.run
        if run in self.running:
            return StartAnswer.STARTED
        if any(other.task == run.task and other.number >= run.number for other in self.ended):
            return StartAnswer.STALE
        need = self.needs[run]
        if self.guards and not need.fits(self.capacity - self.used):
            self.rejected += 1
            return StartAnswer.NO_ROOM
        if not need.fits(self.capacity - self.used) and not need.fits(
            self._counts(now) - self.used
        ):
            self.overfilled.append((now, run))
        self.starts[run.task] += 1
        self.crashes.started(run.task)
        self.running[run] = RunnerTask(need, self.lengths[run.task.job])
        return StartAnswer.STARTED

    def stop(self, now: float, run: RunId) -> None:
        if run not in self.running:
            self.ended.add(run)
        elif self.stop_seconds:
            self.stopping.setdefault(run, now + self.stop_seconds)
        else:
            self._end(run, RunEnd.STOPPED)

    def look(self, sent: float, last_seen: int, until: float | None) -> PollAnswer:
        if until is not None:
            self.lease_until = max(self.lease_until, until)
        self.finished = [row for row in self.finished if row.number > last_seen]
        running = [
            RunningRun(run, min(99, int(100 * task.done / task.length)))
            for run, task in self.running.items()
        ]
        return PollAnswer(sent, running, list(self.finished), born=self.born)

    def _end(self, run: RunId, end: RunEnd) -> None:
        del self.running[run]
        self.stopping.pop(run, None)
        self.crashes.failed[run.task] += end is RunEnd.FAILED
        self.ended.add(run)
        self.count += 1
        self.finished.append(FinishedRun(self.count, run, end))

"""A fake runner of leased runs, in steps: room, leases and ends, with faults that a test sets."""

from collections import Counter
from dataclasses import dataclass

from paddleshunt_core.leased.orders import (
    FinishedRun,
    LookAnswer,
    RunEnd,
    RunningRun,
    StartAnswer,
    StartRun,
)
from paddleshunt_core.leased.resources import NOTHING, Resources
from paddleshunt_core.leased.wire import RunId, TaskId


@dataclass
class RunnerTask:
    """A run at work on a fake runner."""

    need: Resources
    length: float
    done: float = 0.0


class Runner:
    """A fake runner: room, leases, ends; it can hang, fail, slow down, die and answer late."""

    def __init__(self, capacity: Resources, lengths: dict[str, float]) -> None:
        self.capacity = capacity
        self.lengths = lengths
        self.needs: dict[RunId, Resources] = {}
        self.up = True
        self.life = 1
        self.speed = 1.0
        self.fails = False
        self.mute = False
        self.refuses = False
        self.loses_answers = False
        self.loses_stops = False
        self.late: float | None = None
        self.starts: Counter[TaskId] = Counter()
        self.rejected = 0
        self.clear()

    def clear(self) -> None:
        self.running: dict[RunId, RunnerTask] = {}
        self.finished: list[FinishedRun] = []
        self.ended: set[RunId] = set()
        self.lease_until = 0.0
        self.count = 0

    def crash(self) -> None:
        self.clear()
        self.up = False

    def restart(self) -> None:
        self.clear()
        self.up = True
        self.life += 1

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
        for run, task in list(self.running.items()):
            task.done += seconds * self.speed
            if task.done >= task.length:
                self._end(run, RunEnd.FAILED if self.fails else RunEnd.DONE)

    def start(self, now: float, order: StartRun) -> StartAnswer:
        if self.refuses:
            return StartAnswer.NOT_SENT
        if now > order.until:
            return StartAnswer.LATE
        self.lease_until = max(self.lease_until, order.until)
        run = order.run
        if run in self.running:
            return StartAnswer.STARTED
        if any(other.task == run.task and other.number >= run.number for other in self.ended):
            return StartAnswer.STALE
        need = self.needs[run]
        if not need.fits(self.capacity - self.used):
            self.rejected += 1
            return StartAnswer.NO_ROOM
        self.starts[run.task] += 1
        self.running[run] = RunnerTask(need, self.lengths[run.task.job])
        return StartAnswer.STARTED

    def stop(self, run: RunId) -> None:
        if run in self.running:
            self._end(run, RunEnd.STOPPED)
        self.ended.add(run)

    def look(self, sent: float, last_seen: int, until: float | None) -> LookAnswer:
        if until is not None:
            self.lease_until = max(self.lease_until, until)
        self.finished = [row for row in self.finished if row.number > last_seen]
        running = [
            RunningRun(run, min(99, int(100 * task.done / task.length)))
            for run, task in self.running.items()
        ]
        return LookAnswer(sent, running, list(self.finished))

    def _end(self, run: RunId, end: RunEnd) -> None:
        del self.running[run]
        self.ended.add(run)
        self.count += 1
        self.finished.append(FinishedRun(self.count, run, end))

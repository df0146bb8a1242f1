"""One submission at its home: the state of each task, and the outcome that follows from them."""

from collections import deque
from dataclasses import dataclass, field
from enum import IntEnum
from typing import final

from paddleshunt_core.ids import Incarnation
from paddleshunt_core.outcomes import Complete, Failed, NotRun, Outcome, Unknown


class TaskState(IntEnum):
    """State of a task.

    WAITING: not sent to a target. ASSIGNED: sent to a target, may have started. STARTED: reported
    as running. DONE and FAILED: ended. LOST: sent to a target that has lost its outcome, or ended.
    CLOSED: not started, and never will be.
    """

    WAITING = 0
    ASSIGNED = 1
    STARTED = 2
    DONE = 3
    FAILED = 4
    LOST = 5
    CLOSED = 6


@final
@dataclass(slots=True)
class Job:
    """An accepted submission without an outcome. Times are in the home's seconds."""

    submission: str
    service: str
    digest: bytes
    repeatable: bool
    deadline: float
    payloads: list[bytes]
    waiters: dict[Incarnation, str]
    states: bytearray = field(init=False)
    results: list[bytes] = field(init=False)
    waiting: deque[int] = field(init=False)
    unfinished: int = field(init=False)
    failure: str = ""
    lost: bool = False
    stopping: str = ""

    def __post_init__(self) -> None:
        count = len(self.payloads)
        self.states = bytearray(count)
        self.results = [b""] * count
        self.waiting = deque(range(count))
        self.unfinished = count

    def assign_next(self) -> int:
        """Mark the next waiting task as assigned and return its index."""
        index = self.waiting.popleft()
        self.states[index] = TaskState.ASSIGNED
        return index

    def put_back(self, index: int) -> None:
        """Requeue an assigned task that did not start, or close it if the job is stopping."""
        if self.stopping:
            self.states[index] = TaskState.CLOSED
            return
        self.states[index] = TaskState.WAITING
        self.waiting.appendleft(index)

    def confirm_started(self, index: int) -> None:
        """Record that the task's target has reported it as running."""
        self.states[index] = TaskState.STARTED

    def finish(self, index: int, *, ok: bool, payload: bytes) -> None:
        """Record the end of a task: its result, or the reason for its failure."""
        self.unfinished -= 1
        if ok:
            self.states[index] = TaskState.DONE
            self.results[index] = payload
            return
        self.states[index] = TaskState.FAILED
        self.failure = self.failure or f"task {index}: {payload.decode(errors='replace')}"

    def mark_lost(self, index: int, why: str) -> None:
        """Record that it can't be determined whether the task ran."""
        self.states[index] = TaskState.LOST
        self.lost = True
        self.failure = self.failure or f"task {index}: {why}"

    def stop(self, reason: str) -> None:
        """Stop assigning tasks, and close those that wait."""
        self.stopping = self.stopping or reason
        while self.waiting:
            self.states[self.waiting.popleft()] = TaskState.CLOSED

    def indexes(self, *states: TaskState) -> list[int]:
        """Return the indexes of the tasks in one of `states`."""
        return [index for index, state in enumerate(self.states) if state in states]

    def settled_outcome(self, *, at_deadline: bool, retry_after_ms: int) -> Outcome | None:
        """Return the outcome if it is settled; at the deadline, a stopped job always has one."""
        if self.unfinished == 0 and not self.failure:
            return Complete(self.results)
        if self.lost:
            return Unknown(self.failure)
        if self.failure:
            return self._failed(self.failure)
        if not self.stopping:
            return None
        return self._stopped_outcome(at_deadline=at_deadline, retry_after_ms=retry_after_ms)

    def _stopped_outcome(self, *, at_deadline: bool, retry_after_ms: int) -> Outcome | None:
        unconfirmed = self.indexes(TaskState.ASSIGNED)
        if unconfirmed:
            if not at_deadline:
                return None
            return Unknown(f"{self.stopping}; {len(unconfirmed)} tasks may have started")
        if not self.indexes(TaskState.STARTED, TaskState.DONE):
            return NotRun(self.stopping, retry_after_ms)
        if self.indexes(TaskState.STARTED) and not at_deadline:
            return None
        return self._failed(self.stopping)

    def _failed(self, reason: str) -> Failed:
        return Failed(
            reason=reason,
            failed=self.indexes(TaskState.FAILED),
            finished=self.indexes(TaskState.DONE),
            not_started=self.indexes(TaskState.WAITING, TaskState.CLOSED),
        )

"""One submission as its home sees it: where each task stands and what the caller will hear."""

from collections import deque
from dataclasses import dataclass, field
from enum import IntEnum
from typing import final

from paddleshunt_core.ids import Incarnation
from paddleshunt_core.outcomes import Complete, Failed, NotRun, Outcome, Unknown


class TaskState(IntEnum):
    """Where a task stands.

    WAITING: at the home. ASSIGNED: sent to a target, may have started. STARTED: confirmed running.
    DONE and FAILED: ended. LOST: sent to a target that can't tell any more. CLOSED: never started
    and never will.
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
    """A submission that is accepted and has no outcome yet. Times are in the home's seconds."""

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
        """Return the next waiting task, which is now assigned."""
        index = self.waiting.popleft()
        self.states[index] = TaskState.ASSIGNED
        return index

    def put_back(self, index: int) -> None:
        """Note that an assigned task did not start; it waits again unless the job is stopping."""
        if self.stopping:
            self.states[index] = TaskState.CLOSED
            return
        self.states[index] = TaskState.WAITING
        self.waiting.appendleft(index)

    def confirm_started(self, index: int) -> None:
        """Note that a target said the task is running."""
        self.states[index] = TaskState.STARTED

    def finish(self, index: int, *, ok: bool, payload: bytes) -> None:
        """Note the end of a task: its result, or the reason of its failure."""
        self.unfinished -= 1
        if ok:
            self.states[index] = TaskState.DONE
            self.results[index] = payload
            return
        self.states[index] = TaskState.FAILED
        self.failure = self.failure or f"task {index}: {payload.decode(errors='replace')}"

    def mark_lost(self, index: int, why: str) -> None:
        """Note that nobody can tell any more whether the task ran."""
        self.states[index] = TaskState.LOST
        self.lost = True
        self.failure = self.failure or f"task {index}: {why}"

    def stop(self, reason: str) -> None:
        """Assign nothing more, and close what has not started."""
        self.stopping = self.stopping or reason
        while self.waiting:
            self.states[self.waiting.popleft()] = TaskState.CLOSED

    def indexes(self, *states: TaskState) -> list[int]:
        """Return the tasks that are in one of `states`."""
        return [index for index, state in enumerate(self.states) if state in states]

    def settled_outcome(self, *, at_deadline: bool, retry_after_ms: int) -> Outcome | None:
        """Return the outcome if it is settled; with `at_deadline`, the truest one there is now."""
        if self.unfinished == 0 and not self.failure:
            return Complete(self.results)
        if self.lost:
            return Unknown(self.failure)
        if self.failure:
            return self._failed(self.failure)
        if not self.stopping:
            return None
        return self._stopped(at_deadline=at_deadline, retry_after_ms=retry_after_ms)

    def _stopped(self, *, at_deadline: bool, retry_after_ms: int) -> Outcome | None:
        unsettled = self.indexes(TaskState.ASSIGNED)
        if unsettled:
            if not at_deadline:
                return None
            return Unknown(f"{self.stopping}; {len(unsettled)} tasks may have started")
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

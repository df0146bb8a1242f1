"""The jobs that an entry is home of, by caller and by key, and their tasks by run."""

from collections.abc import Iterable
from typing import final

from paddleshunt_core.events import Log, note
from paddleshunt_core.leased.jobs import JobRecord, TaskPhase, TaskRecord
from paddleshunt_core.leased.wire import RunId

MAX_REMEMBERED_JOBS = 1024
"""Dropped jobs whose runs' numbers are remembered; a word on a run is late by a second at most.

Some 150 KB; an entry drops a few hundred jobs a second.
"""


@final
class JobTable:
    """All jobs held at one entry."""

    def __init__(self) -> None:
        self._by_caller: dict[int, JobRecord] = {}
        self._by_key: dict[str, JobRecord] = {}
        self._numbers: dict[str, list[int]] = {}
        """By key, the last numbers of runs of tasks of dropped jobs, the oldest first."""

    def __len__(self) -> int:
        return len(self._by_caller)

    def all(self) -> list[JobRecord]:
        """Return all jobs, the oldest first."""
        return list(self._by_caller.values())

    def of_caller(self, caller: int) -> JobRecord | None:
        """Return the job that a caller waits for."""
        return self._by_caller.get(caller)

    def of_key(self, key: str) -> JobRecord | None:
        """Return the job of a key."""
        return self._by_key.get(key)

    def may_have_run(self, key: str) -> bool:
        """Whether an earlier try of a job was placed here: it can't be said to have never run."""
        return any(self._numbers.get(key, ()))

    def add(self, job: JobRecord) -> None:
        """Hold a job.

        One that came before goes on counting its runs: a word on one may still be under way.
        """
        job.may_have_run = self.may_have_run(job.request.key)
        for task, number in zip(job.tasks, self._numbers.pop(job.request.key, ()), strict=False):
            task.number = number
        self._by_caller[job.caller] = job
        self._by_key[job.request.key] = job

    def drop(self, job: JobRecord) -> None:
        """Forget a job, but for the numbers of its last runs."""
        self._numbers[job.request.key] = [task.number for task in job.tasks]
        if len(self._numbers) > MAX_REMEMBERED_JOBS:
            del self._numbers[next(iter(self._numbers))]
        del self._by_caller[job.caller]
        del self._by_key[job.request.key]

    def hand_over(self, job: JobRecord, caller: int) -> int:
        """Let a job go on for another caller; return the one before."""
        earlier = job.caller
        del self._by_caller[earlier]
        job.caller = caller
        self._by_caller[caller] = job
        return earlier

    def task(self, run: RunId, target: str) -> TaskRecord | None:
        """Return the task whose newest run this is, at this target.

        A job that came again counts its runs anew, so number and target must both be right.
        """
        job = self._by_key.get(run.task.job)
        if job is None or not 0 <= run.task.index < len(job.tasks):
            return None
        task = job.tasks[run.task.index]
        return task if task.number == run.number and task.target == target else None

    def hold(self, runs: Iterable[RunId], target: str) -> None:
        """Mark tasks whose target fell silent: they may still run there."""
        for run in runs:
            task = self.task(run, target)
            if task is not None:
                task.phase = TaskPhase.HELD

    def run_again(self, runs: Iterable[RunId], target: str, reason: str) -> list[Log]:
        """Let tasks wait again whose runs can't be at work any more."""
        logs: list[Log] = []
        for run in runs:
            task = self.task(run, target)
            if task is None or task.phase is TaskPhase.DONE:
                continue
            task.phase = TaskPhase.WAITING
            task.ran = True
            task.losses += 1
            task.retries += 1
            fields: dict[str, str | int | float] = {
                "index": run.task.index,
                "target": target,
                "end": reason,
                "losses": task.losses,
            }
            logs.append(note("task_returned", run.task.job, **fields))
        return logs

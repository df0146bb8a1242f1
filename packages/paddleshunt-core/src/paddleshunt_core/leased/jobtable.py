"""The jobs that an entry owns, indexed by caller and by key, and their tasks by run."""

from collections.abc import Iterable
from typing import final

from paddleshunt_core.events import Log, note
from paddleshunt_core.leased.jobs import JobRecord, TaskPhase, TaskRecord
from paddleshunt_core.leased.wire import RunId

MAX_REMEMBERED_JOBS = 1024
"""Maximum number of dropped jobs whose run numbers are remembered, for late messages on them.

Messages are late by a second at most, and an entry drops a few hundred jobs a second. They take
some 150 KB.
"""


@final
class JobTable:
    """All unanswered jobs of one entry."""

    def __init__(self) -> None:
        self._by_caller: dict[int, JobRecord] = {}
        self._by_key: dict[str, JobRecord] = {}
        self._numbers: dict[str, list[int]] = {}
        """The last run number of each task of dropped jobs, by key, oldest job first."""

    def __len__(self) -> int:
        return len(self._by_caller)

    def all(self) -> list[JobRecord]:
        """Return all jobs."""
        return list(self._by_caller.values())

    def by_caller(self, caller: int) -> JobRecord | None:
        """Return the job that a caller waits for, if any."""
        return self._by_caller.get(caller)

    def by_key(self, key: str) -> JobRecord | None:
        """Return the job with a key, if any."""
        return self._by_key.get(key)

    def may_have_run(self, key: str) -> bool:
        """Whether a dropped job with this key was placed, so that it may have run."""
        return any(self._numbers.get(key, ()))

    def add(self, job: JobRecord) -> None:
        """Add a job.

        A resubmitted job continues its run numbers, so that late messages on runs of the previous
        submission are not taken for messages on its own.
        """
        job.placed_before = self.may_have_run(job.request.key)
        for task, number in zip(job.tasks, self._numbers.pop(job.request.key, ()), strict=False):
            task.number = number
        self._by_caller[job.caller] = job
        self._by_key[job.request.key] = job

    def drop(self, job: JobRecord) -> None:
        """Remove a job, but remember the numbers of its last runs."""
        self._numbers[job.request.key] = [task.number for task in job.tasks]
        if len(self._numbers) > MAX_REMEMBERED_JOBS:
            del self._numbers[next(iter(self._numbers))]
        del self._by_caller[job.caller]
        del self._by_key[job.request.key]

    def hand_over(self, job: JobRecord, caller: int) -> int:
        """Assign a job to another caller and return the previous one."""
        previous = job.caller
        del self._by_caller[previous]
        job.caller = caller
        self._by_caller[caller] = job
        return previous

    def task(self, run: RunId, target: str) -> TaskRecord | None:
        """Return the task whose newest run is `run`, placed at `target`; None for any other run."""
        job = self._by_key.get(run.task.job)
        if job is None or not 0 <= run.task.index < len(job.tasks):
            return None
        task = job.tasks[run.task.index]
        return task if task.number == run.number and task.target == target else None

    def hold(self, runs: Iterable[RunId], target: str) -> None:
        """Mark tasks of a target as held, as its session has ended but they may still run there."""
        for run in runs:
            task = self.task(run, target)
            if task is not None:
                task.phase = TaskPhase.HELD

    def requeue(self, runs: Iterable[RunId], target: str, reason: str) -> list[Log]:
        """Set the tasks of runs that can't be running any more back to waiting."""
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

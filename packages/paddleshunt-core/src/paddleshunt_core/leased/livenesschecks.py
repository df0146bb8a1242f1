"""Tracks targets that were assigned tasks in idle sessions until they confirm that they are alive.

The lease of an idle session has expired, so the target starts the tasks only after the entry has
echoed its reply. A target that doesn't reply in time can't have started any: its tasks are
withdrawn and placed elsewhere at once. The withdrawal precedes any later echo in the session, so
the target receives it before it may start them.
"""

from collections.abc import Iterable
from typing import final

from paddleshunt_core.events import Log, note
from paddleshunt_core.leased.bounds import LeaseTimes
from paddleshunt_core.leased.jobs import TaskPhase, TaskRecord
from paddleshunt_core.leased.jobtable import JobTable
from paddleshunt_core.leased.targets import TargetRecord
from paddleshunt_core.leased.wire import RunId, Stop

CONFIRMATION_SECONDS = 0.03
"""Seconds allowed for a confirmation, in addition to twice the time of the last one."""

MAX_CONFIRMATION_SECONDS = 0.1
"""Maximum seconds allowed for a confirmation."""


@final
class LivenessChecks:
    """The targets of one entry that have to confirm that they are alive."""

    def __init__(self, times: LeaseTimes, jobs: JobTable) -> None:
        self._times = times
        self._jobs = jobs
        self._pending: list[TargetRecord] = []

    def expect_confirmations(self, now: float, assigned: Iterable[TargetRecord]) -> None:
        """Expect a confirmation from those of the `assigned` targets whose lease has expired."""
        for target in assigned:
            if target.awaited_since is None and not target.may_have_started(self._times, now):
                target.awaited_since = now
                self._pending.append(target)

    def next_deadline(self) -> float | None:
        """Return the first deadline of a pending confirmation; None if there is none."""
        deadlines = [_deadline(t.awaited_since, t) for t in self._pending if t.awaited_since]
        return min(deadlines, default=None)

    def check(self, now: float) -> list[Log]:
        """Withdraw the tasks of targets that missed the deadline, to place them again."""
        logs: list[Log] = []
        for target in self._pending:
            if target.awaited_since is not None and now > _deadline(target.awaited_since, target):
                logs += self._withdraw(now, target, target.awaited_since)
        self._pending = [target for target in self._pending if target.awaited_since is not None]
        return logs

    def _withdraw(self, now: float, target: TargetRecord, awaited_since: float) -> list[Log]:
        target.awaited_since = None
        target.unconfirmed = True
        unstarted = {run: task for run in target.placed if (task := self._task(run, target))}
        if target.session is None or not unstarted:
            return []
        target.session.send(Stop(list(unstarted)))
        fields: dict[str, str | int | float] = {
            "target": target.name,
            "runs": len(unstarted),
            "after_ms": round((now - awaited_since) * 1000),
        }
        logs = [note("target_unanswered", **fields)]
        for run, task in unstarted.items():
            target.placed.discard(run)
            task.phase = TaskPhase.WAITING
            logs.append(_returned_log(target, run, task))
        return logs

    def _task(self, run: RunId, target: TargetRecord) -> TaskRecord | None:
        """Return the task of a run that can't have started; None if it may have."""
        task = self._jobs.task(run, target.name)
        if task is None or task.phase is not TaskPhase.PLACED:
            return None
        return None if target.may_have_started(self._times, task.placed_at) else task


def _returned_log(target: TargetRecord, run: RunId, task: TaskRecord) -> Log:
    fields: dict[str, str | int | float] = {
        "index": run.task.index,
        "target": target.name,
        "run": run.number,
        "end": "unanswered",
        "losses": task.losses,
    }
    return note("task_returned", run.task.job, **fields)


def _deadline(awaited_since: float, target: TargetRecord) -> float:
    return awaited_since + min(
        MAX_CONFIRMATION_SECONDS, CONFIRMATION_SECONDS + 2 * target.confirmation_seconds
    )

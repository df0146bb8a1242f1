"""Which targets were given work in an idle session and have not confirmed yet that they live.

The lease of an idle session is over, so a target starts what it is given only after an echo that
the entry sends in answer to it. One that says nothing can't have started anything: what it was
given is withdrawn and placed elsewhere at once. The withdrawal lies in the session before any
later echo, so the target knows it before it may start.
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
"""Seconds for which an idle target's first answer is awaited, beside twice what the last took.

A round trip takes 1 to 3 ms; a target that is merely late loses nothing but this work.
"""

MAX_CONFIRMATION_SECONDS = 0.1
"""Longest wait for such an answer, however long the last one took."""


@final
class LivenessChecks:
    """The targets of one entry that are to confirm that they live."""

    def __init__(self, times: LeaseTimes, jobs: JobTable) -> None:
        self._times = times
        self._jobs = jobs
        self._asked: list[TargetRecord] = []

    def ask(self, now: float, assigned: Iterable[TargetRecord]) -> None:
        """Expect an answer of those targets, just assigned something, whose lease was over."""
        for target in assigned:
            if target.asked is None and not target.may_have_started(self._times, now):
                target.asked = now
                self._asked.append(target)

    def due(self) -> float | None:
        """Return when the first answer is overdue."""
        waiting = [_overdue(target.asked, target) for target in self._asked if target.asked]
        return min(waiting, default=None)

    def check(self, now: float) -> list[Log]:
        """Withdraw what the targets were given whose answer is overdue; its tasks wait again."""
        logs: list[Log] = []
        for target in self._asked:
            if target.asked is not None and now > _overdue(target.asked, target):
                logs += self._withdraw(now, target, target.asked)
        self._asked = [target for target in self._asked if target.asked is not None]
        return logs

    def _withdraw(self, now: float, target: TargetRecord, asked: float) -> list[Log]:
        target.asked = None
        target.unanswered = True
        never_begun = {run: task for run in target.placed if (task := self._task(run, target))}
        if target.session is None or not never_begun:
            return []
        target.session.send(Stop(list(never_begun)))
        fields: dict[str, str | int | float] = {
            "target": target.name,
            "runs": len(never_begun),
            "after_ms": round((now - asked) * 1000),
        }
        logs = [note("target_unanswered", **fields)]
        for run, task in never_begun.items():
            target.placed.discard(run)
            task.phase = TaskPhase.WAITING
            logs.append(_returned(target, run, task))
        return logs

    def _task(self, run: RunId, target: TargetRecord) -> TaskRecord | None:
        """Return the task of a run that can't have begun; None if it may have."""
        task = self._jobs.task(run, target.name)
        if task is None or task.phase is not TaskPhase.PLACED:
            return None
        return None if target.may_have_started(self._times, task.placed_at) else task


def _returned(target: TargetRecord, run: RunId, task: TaskRecord) -> Log:
    fields: dict[str, str | int | float] = {
        "index": run.task.index,
        "target": target.name,
        "run": run.number,
        "end": "unanswered",
        "losses": task.losses,
    }
    return note("task_returned", run.task.job, **fields)


def _overdue(asked: float, target: TargetRecord) -> float:
    return asked + min(MAX_CONFIRMATION_SECONDS, CONFIRMATION_SECONDS + 2 * target.answered_in)

"""Reports of a target that its runner is lost with all its runs, or answers again."""

from dataclasses import dataclass
from typing import final

from msgspec.structs import replace

from paddleshunt_core.events import Log
from paddleshunt_core.leased.orders import RunnerStatus
from paddleshunt_core.leased.runlogs import runner_lost_log
from paddleshunt_core.leased.runtable import Run, RunTable
from paddleshunt_core.leased.wire import (
    LossId,
    LossUpdate,
    RunnerLost,
    RunnerReturned,
    RunnerSilent,
    TaskId,
)

SILENT = "silent"
"""The incarnation gave no answer until its lease ended."""

REPLACED = "replaced"
"""Another incarnation answers in its place."""


@final
@dataclass(frozen=True, slots=True)
class _UnconfirmedLoss:
    """A reported loss of an incarnation that may yet answer, and the tasks known to be running."""

    lost: RunnerLost
    started: list[TaskId]


@final
class RunnerLosses:
    """Losses of one runner, as detected by polls. Times are steady seconds.

    An incarnation that does not answer until its lease ends may have ended, be partitioned, be
    paused or miss its requests. Only another incarnation's answer shows that it has ended, and even
    then it is unknown what its runs did after they were last listed.
    """

    def __init__(self) -> None:
        self._silent_since: float | None = None
        """Time of the first failed poll since the last answered one; None if that was the last."""
        self._reported: LossId | None = None
        """The reported silence or loss of the current incarnation, if it may answer again."""
        self._unconfirmed: _UnconfirmedLoss | None = None
        """Its reported loss, if nothing was received from it since."""
        self._updates: list[LossUpdate] = []

    def take_updates(self) -> list[LossUpdate]:
        """Remove and return the new reports of silences, losses and returns."""
        updates = self._updates
        self._updates = []
        return updates

    def poll_answered(self) -> None:
        """Withdraw what was reported, as the current incarnation answered a poll."""
        self._silent_since = None
        self._unconfirmed = None
        self._withdraw()

    def heartbeat_received(self) -> None:
        """Record that the current incarnation did not end with the runs of its reported loss.

        Its heartbeat does not withdraw the loss, as it may have been sent before that.
        """
        self._unconfirmed = None

    def end_announced(self) -> None:
        """Withdraw what was reported, as an incarnation that announces its end didn't crash."""
        self._unconfirmed = None
        self._withdraw()

    def poll_failed(self, now: float) -> None:
        """Record that a poll had no answer."""
        if self._silent_since is None:
            self._silent_since = now

    def report_silent(self, now: float, status: RunnerStatus | None, table: RunTable) -> None:
        """Report that several consecutive polls failed while runs were running."""
        if status is not None and not status.leaving and _own_runs(table):
            self._reported = self._loss_id(now, status)
            self._updates.append(RunnerSilent(self._reported, *self._affected(now, table)))

    def report_lost(self, now: float, status: RunnerStatus | None, table: RunTable) -> Log:
        """Report the runner as lost: no poll was answered until its lease ended."""
        return self._report_loss(now, status, table, SILENT)

    def report_replaced(
        self, now: float, status: RunnerStatus | None, table: RunTable
    ) -> list[Log]:
        """Report that the current incarnation has ended and another one answers."""
        logs = [self._report_loss(now, status, table, REPLACED)] if _own_runs(table) else []
        if status is not None and status.leaving:
            # It announced its end meanwhile, so it is not lost.
            self._withdraw()
        elif self._unconfirmed is not None:
            # It was reported lost while silent; now it is known to have ended.
            self._updates.append(replace(self._unconfirmed.lost, ended=self._unconfirmed.started))
        self._silent_since = None
        self._reported = None
        self._unconfirmed = None
        return logs

    def _report_loss(
        self, now: float, status: RunnerStatus | None, table: RunTable, how: str
    ) -> Log:
        """Report the loss of the incarnation with its runs, unless it had announced its end."""
        if status is not None and not status.leaving:
            self._queue_loss(now, status, table, ended=how == REPLACED)
        else:
            # It announced its end meanwhile, so it is not lost.
            self._withdraw()
        runner = str(status.runner) if status else ""
        return runner_lost_log(runner, how, self._silence_start(now), _own_runs(table))

    def _queue_loss(
        self, now: float, status: RunnerStatus, table: RunTable, *, ended: bool
    ) -> None:
        self._reported = self._loss_id(now, status)
        lost = RunnerLost(self._reported, *self._affected(now, table))
        started_tasks = {run.id.task for run in _own_runs(table) if run.has_started}
        started = [task for task in lost.tasks if task in started_tasks]
        if ended:
            self._updates.append(replace(lost, ended=started))
            return
        self._updates.append(lost)
        if lost.tasks or self._unconfirmed is None:
            self._unconfirmed = _UnconfirmedLoss(lost, started)

    def _withdraw(self) -> None:
        if self._reported is not None:
            self._updates.append(RunnerReturned(self._reported))
            self._reported = None

    def _silence_start(self, now: float) -> float:
        return now if self._silent_since is None else self._silent_since

    def _loss_id(self, now: float, status: RunnerStatus) -> LossId:
        return LossId.for_incarnation(status.runner, int(self._silence_start(now) * 1000))

    def _affected(self, now: float, table: RunTable) -> tuple[list[TaskId], list[str], list[int]]:
        """Return the affected tasks in order, with the queue and the milliseconds of work of each.

        Runs ordered after the first failed poll are left out: they can't have crashed the runner.
        """
        since = self._silence_start(now)
        runs = (
            run for run in _own_runs(table) if run.decided_at < since or self._silent_since is None
        )
        newest = {run.id.task: run for run in sorted(runs, key=lambda run: run.decided_at)}
        tasks = sorted(newest)
        worked = [max(0, round((since - newest[task].decided_at) * 1000)) for task in tasks]
        return tasks, [newest[task].queue for task in tasks], worked


def _own_runs(table: RunTable) -> list[Run]:
    """Return the runs ordered from the current incarnation, which excludes orphaned ones."""
    return [run for run in table if not run.is_orphaned]

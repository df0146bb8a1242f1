"""Notices at a target that its runner is lost with all that ran on it, or answers again."""

from dataclasses import dataclass
from typing import final

from msgspec.structs import replace

from paddleshunt_core.events import Log
from paddleshunt_core.leased.orders import RunnerAccount
from paddleshunt_core.leased.runnotes import runner_lost_note
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
"""How a life was lost that gave no answer until its lease was over."""

REPLACED = "replaced"
"""How a life was lost in whose place another one answers."""


@final
@dataclass(frozen=True, slots=True)
class _Silence:
    """A loss that was told of a life that may yet answer, and what was known to be at work."""

    lost: RunnerLost
    at_work: list[TaskId]


@final
class RunnerLosses:
    """Losses of one runner, as far as looks show them. Times are steady seconds.

    A life that gives no answer until its lease is over may have ended, or be cut off, or stand
    still, or lose what it is asked. That it has ended is known once another life answers in its
    place; what its runs did after they were seen last is not known even then.
    """

    def __init__(self) -> None:
        self._silent_since: float | None = None
        """When a look had no answer for the first time since one had; None if the last one had."""
        self._told: LossId | None = None
        """What was told of the life that is known, as silent or lost, if it may answer again."""
        self._silence: _Silence | None = None
        """Its loss, if it gave no sign since that was told."""
        self._news: list[LossUpdate] = []

    def take_news(self) -> list[LossUpdate]:
        """Return which lives fell silent or were lost with their runs, or answer again, once."""
        news = self._news
        self._news = []
        return news

    def answered(self) -> None:
        """Note that the life that is known answered a look."""
        self._silent_since = None
        self._silence = None
        self._take_back()

    def spoke(self) -> None:
        """Note a heartbeat of the life that is known: it outlived what it was lost with.

        That is no answer: the heartbeat may have been held back since before the loss.
        """
        self._silence = None

    def unanswered(self, now: float) -> None:
        """Note that a look had no answer."""
        if self._silent_since is None:
            self._silent_since = now

    def silent(self, now: float, account: RunnerAccount | None, table: RunTable) -> None:
        """Note that looks in a row had no answer, with runs at work: it may have been lost."""
        if account is not None and not account.leaving and _own(table):
            self._told = self._loss(now, account)
            self._news.append(RunnerSilent(self._told, *self._at_work(now, table)))

    def given_up(self, now: float, account: RunnerAccount | None, table: RunTable) -> Log:
        """Note that what runs there can't be at work any more, as no look had an answer."""
        return self._lose(now, account, table, SILENT)

    def replaced(self, now: float, account: RunnerAccount | None, table: RunTable) -> list[Log]:
        """Note that the life that was known has ended; it won't answer again."""
        logs = [self._lose(now, account, table, REPLACED)] if _own(table) else []
        if account is not None and account.leaving:
            # It said meanwhile that it ends: its silence was no sign of a loss.
            self._take_back()
        elif self._silence is not None:
            # Given up while it was silent: that it has ended is known by now.
            self._news.append(replace(self._silence.lost, ended=self._silence.at_work))
        self._silent_since = None
        self._told = None
        self._silence = None
        return logs

    def _lose(self, now: float, account: RunnerAccount | None, table: RunTable, how: str) -> Log:
        """Tell of a life and its runs, unless it had said that it ends."""
        if account is not None and not account.leaving:
            self._tell(now, account, table, ended=how == REPLACED)
        else:
            # It said meanwhile that it ends: its silence was no sign of a loss.
            self._take_back()
        runner = str(account.runner) if account else ""
        return runner_lost_note(runner, how, self._since(now), _own(table))

    def _tell(self, now: float, account: RunnerAccount, table: RunTable, *, ended: bool) -> None:
        self._told = self._loss(now, account)
        lost = RunnerLost(self._told, *self._at_work(now, table))
        known = {run.id.task for run in _own(table) if run.at_work}
        at_work = [task for task in lost.tasks if task in known]
        if ended:
            self._news.append(replace(lost, ended=at_work))
            return
        self._news.append(lost)
        if lost.tasks or self._silence is None:
            self._silence = _Silence(lost, at_work)

    def _take_back(self) -> None:
        if self._told is not None:
            self._news.append(RunnerReturned(self._told))
            self._told = None

    def _since(self, now: float) -> float:
        return now if self._silent_since is None else self._silent_since

    def _loss(self, now: float, account: RunnerAccount) -> LossId:
        return LossId.for_incarnation(account.runner, int(self._since(now) * 1000))

    def _at_work(self, now: float, table: RunTable) -> tuple[list[TaskId], list[str], list[int]]:
        """Return the tasks at work in order, the queue of each, and its milliseconds of work.

        What was ordered after the first look without an answer did not take the runner down.
        """
        since = self._since(now)
        began = (run for run in _own(table) if run.began < since or self._silent_since is None)
        newest = {run.id.task: run for run in sorted(began, key=lambda run: run.began)}
        tasks = sorted(newest)
        worked = [max(0, round((since - newest[task].began) * 1000)) for task in tasks]
        return tasks, [newest[task].queue for task in tasks], worked


def _own(table: RunTable) -> list[Run]:
    """Return the runs that are the known life's own: none that the life before it was ordered."""
    return [run for run in table if not run.outlived]

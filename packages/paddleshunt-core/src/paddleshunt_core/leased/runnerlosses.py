"""Notices at a target that its runner is lost with all that ran on it, or answers again."""

from typing import final

from paddleshunt_core.events import Log
from paddleshunt_core.leased.orders import RunnerAccount
from paddleshunt_core.leased.runnotes import runner_lost_note
from paddleshunt_core.leased.runtable import RunTable
from paddleshunt_core.leased.wire import LossId, RunnerLost, RunnerReturned

LossNews = RunnerLost | RunnerReturned


@final
class RunnerLosses:
    """Losses of one runner, as far as looks show them. Times are steady seconds."""

    def __init__(self) -> None:
        self._silent_since: float | None = None
        """When a look had no answer for the first time since one had; None if the last one had."""
        self._lost: LossId | None = None
        """The loss of the life that is known, if it was taken for lost and may answer again."""
        self._news: list[LossNews] = []

    def take_news(self) -> list[LossNews]:
        """Return which lives were lost with their runs, or answer again, once."""
        news = self._news
        self._news = []
        return news

    def answered(self) -> None:
        """Note that the life that is known answered a look."""
        self._silent_since = None
        if self._lost is not None:
            self._news.append(RunnerReturned(self._lost))
            self._lost = None

    def unanswered(self, now: float) -> None:
        """Note that a look had no answer."""
        if self._silent_since is None:
            self._silent_since = now

    def given_up(self, now: float, account: RunnerAccount | None, table: RunTable) -> Log:
        """Note that what runs there can't be at work any more, as no look had an answer."""
        return self._lose(now, account, table, "silent")

    def replaced(self, now: float, account: RunnerAccount | None, table: RunTable) -> list[Log]:
        """Note that the life that was known has ended; it won't answer again."""
        logs = [self._lose(now, account, table, "replaced")] if len(table) else []
        self._silent_since = None
        self._lost = None
        return logs

    def _lose(self, now: float, account: RunnerAccount | None, table: RunTable, how: str) -> Log:
        """Tell of a life and its runs, unless it had said that it ends."""
        runner = account.runner if account else ""
        since = now if self._silent_since is None else self._silent_since
        if account is not None and not account.leaving:
            self._lost = LossId(runner, int(since * 1000))
            tasks = sorted({run.id.task for run in table})
            self._news.append(RunnerLost(self._lost, tasks))
        return runner_lost_note(runner, how, since, table)

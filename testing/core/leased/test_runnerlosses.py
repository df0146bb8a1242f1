"""What a target tells of its silent runner: at once what was at work, and later how it ended."""

from collections.abc import Callable

import pytest
from msgspec.structs import replace
from paddleshunt_core.leased.orders import RunnerStatus
from paddleshunt_core.leased.resources import Resources
from paddleshunt_core.leased.runnerincarnation import RunnerIncarnation
from paddleshunt_core.leased.runnerlosses import RunnerLosses
from paddleshunt_core.leased.runtable import Run, RunTable
from paddleshunt_core.leased.wire import (
    LossId,
    RunId,
    RunnerLost,
    RunnerReturned,
    RunnerSilent,
    TaskId,
)

ROOM = Resources(8000, 8000, 0)
ACCOUNT = RunnerStatus(RunnerIncarnation("i-1"), "svc", "hall", ROOM, False, None)
LEAVING = RunnerStatus(RunnerIncarnation("i-1"), "svc", "hall", ROOM, True, None)
LOSS = LossId("i-1", 5000)
TASKS = [TaskId("a", 0, 1), TaskId("b", 0, 0)]


@pytest.fixture
def table() -> RunTable:
    table = RunTable()
    for task, queue, decided_at in ((TASKS[1], "long", 4.2), (TASKS[0], "short", 4.9)):
        run = Run(RunId(task, 1), "e0", "spec", Resources(1000, 64), 0.4, 9.0, queue)
        run.decided_at = decided_at
        table.add(run)
    return table


@pytest.fixture
def losses() -> RunnerLosses:
    losses = RunnerLosses()
    losses.poll_failed(5.0)
    return losses


def test_a_silent_runner_is_told_with_the_queue_and_work_of_each_task(
    losses: RunnerLosses, table: RunTable
) -> None:
    losses.report_silent(5.1, ACCOUNT, table)
    assert losses.take_news() == [RunnerSilent(LOSS, TASKS, ["short", "long"], [100, 800])]
    assert losses.take_news() == []


def test_its_loss_follows_by_the_same_name(losses: RunnerLosses, table: RunTable) -> None:
    losses.report_silent(5.1, ACCOUNT, table)
    losses.report_lost(5.8, ACCOUNT, table)
    assert losses.take_news()[1] == RunnerLost(LOSS, TASKS, ["short", "long"], [100, 800])


@pytest.mark.parametrize("lost", [[], [5.8]], ids=["silent", "lost"])
def test_its_return_takes_back_what_was_told(
    losses: RunnerLosses, table: RunTable, lost: list[float]
) -> None:
    losses.report_silent(5.1, ACCOUNT, table)
    for at in lost:
        losses.report_lost(at, ACCOUNT, table)
    losses.poll_answered()
    assert losses.take_news()[-1] == RunnerReturned(LOSS)
    losses.poll_answered()
    assert losses.take_news() == []


def test_a_runner_that_leaves_or_has_nothing_at_work_is_not_told(
    losses: RunnerLosses, table: RunTable
) -> None:
    losses.report_silent(5.1, LEAVING, table)
    losses.report_silent(5.1, None, table)
    losses.report_silent(5.1, ACCOUNT, RunTable())
    assert losses.take_news() == []


def test_one_replaced_after_it_was_silent_does_not_return(
    losses: RunnerLosses, table: RunTable
) -> None:
    losses.report_silent(5.1, ACCOUNT, table)
    losses.report_replaced(5.4, ACCOUNT, table)
    losses.poll_answered()
    kinds = [type(news) for news in losses.take_news()]
    assert kinds == [RunnerSilent, RunnerLost]


def test_what_was_ordered_after_it_fell_silent_did_not_take_it_down(
    losses: RunnerLosses, table: RunTable
) -> None:
    late = Run(RunId(TaskId("c", 0, 0), 1), "e0", "spec", Resources(1000, 64), 0.4, 9.0, "late")
    late.decided_at = 5.05
    table.add(late)
    losses.report_silent(5.1, ACCOUNT, table)
    losses.report_lost(5.8, ACCOUNT, table)
    told = losses.take_news()
    assert [news.tasks for news in told if not isinstance(news, RunnerReturned)] == [TASKS, TASKS]


def test_one_that_says_it_ends_after_all_was_not_lost(
    losses: RunnerLosses, table: RunTable
) -> None:
    losses.report_silent(5.1, ACCOUNT, table)
    losses.report_lost(5.8, LEAVING, table)
    assert losses.take_news()[1:] == [RunnerReturned(LOSS)]


def ended(losses: RunnerLosses) -> list[list[TaskId]]:
    """Return with which tasks lives were told to have ended, and forget it."""
    return [news.ended for news in losses.take_news() if isinstance(news, RunnerLost)]


@pytest.fixture
def at_work(table: RunTable) -> RunTable:
    """Give a table of which one task is known to be at work, and the other was only ordered."""
    (run,) = [run for run in table if run.id.task == TASKS[0]]
    run.mark_running(4.9)
    return table


def test_one_that_is_only_silent_is_not_known_to_have_ended(
    losses: RunnerLosses, at_work: RunTable
) -> None:
    losses.report_silent(5.1, ACCOUNT, at_work)
    losses.report_lost(5.8, ACCOUNT, at_work)
    assert ended(losses) == [[]]


def test_one_replaced_is_known_to_have_ended_with_what_was_known_to_be_at_work(
    losses: RunnerLosses, at_work: RunTable
) -> None:
    losses.report_silent(5.1, ACCOUNT, at_work)
    losses.report_replaced(5.4, ACCOUNT, at_work)
    assert ended(losses) == [[TASKS[0]]]


def test_one_given_up_and_then_replaced_is_told_again(
    losses: RunnerLosses, at_work: RunTable
) -> None:
    losses.report_lost(5.8, ACCOUNT, at_work)
    losses.report_replaced(8.4, ACCOUNT, RunTable())
    lost = RunnerLost(LOSS, TASKS, ["short", "long"], [100, 800])
    assert losses.take_news() == [lost, replace(lost, ended=[TASKS[0]])]


def test_one_lost_twice_in_one_silence_keeps_what_it_ended_with(
    losses: RunnerLosses, at_work: RunTable
) -> None:
    losses.report_lost(5.8, ACCOUNT, at_work)
    late = RunTable()
    run = Run(RunId(TaskId("c", 0, 0), 1), "e0", "spec", Resources(1000, 64), 0.4, 9.0, "late")
    run.decided_at = 5.9
    late.add(run)
    losses.report_lost(6.6, ACCOUNT, late)
    losses.report_replaced(8.4, ACCOUNT, RunTable())
    assert ended(losses) == [[], [], [TASKS[0]]]


def heartbeat(losses: RunnerLosses) -> None:
    losses.heartbeat_received()


def answer(losses: RunnerLosses) -> None:
    losses.poll_answered()


@pytest.mark.parametrize("sign", [heartbeat, answer])
def test_one_that_outlived_its_runs_is_not_told_to_have_ended_with_them(
    sign: Callable[[RunnerLosses], None], losses: RunnerLosses, at_work: RunTable
) -> None:
    losses.report_lost(5.8, ACCOUNT, at_work)
    sign(losses)
    losses.report_replaced(8.4, ACCOUNT, RunTable())
    assert ended(losses) == [[]]


def test_one_that_said_that_it_ends_is_not_told_to_have_ended(
    losses: RunnerLosses, at_work: RunTable
) -> None:
    losses.report_lost(5.8, ACCOUNT, at_work)
    losses.report_replaced(8.4, LEAVING, RunTable())
    assert ended(losses) == [[]]

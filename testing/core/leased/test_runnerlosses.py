"""Tests of what a target reports of its silent, lost or replaced runner."""

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
STATUS = RunnerStatus(RunnerIncarnation("i-1"), "svc", "hall", ROOM, False, None)
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


def test_silence_is_reported_with_the_queue_and_work_of_each_task(
    losses: RunnerLosses, table: RunTable
) -> None:
    losses.report_silent(5.1, STATUS, table)
    assert losses.take_updates() == [RunnerSilent(LOSS, TASKS, ["short", "long"], [100, 800])]
    assert losses.take_updates() == []


def test_loss_after_a_silence_has_the_same_id(losses: RunnerLosses, table: RunTable) -> None:
    losses.report_silent(5.1, STATUS, table)
    losses.report_lost(5.8, STATUS, table)
    assert losses.take_updates()[1] == RunnerLost(LOSS, TASKS, ["short", "long"], [100, 800])


@pytest.mark.parametrize("lost", [[], [5.8]], ids=["silent", "lost"])
def test_return_withdraws_the_reported_loss(
    losses: RunnerLosses, table: RunTable, lost: list[float]
) -> None:
    losses.report_silent(5.1, STATUS, table)
    for at in lost:
        losses.report_lost(at, STATUS, table)
    losses.poll_answered()
    assert losses.take_updates()[-1] == RunnerReturned(LOSS)
    losses.poll_answered()
    assert losses.take_updates() == []


def test_silence_of_a_leaving_or_idle_runner_is_not_reported(
    losses: RunnerLosses, table: RunTable
) -> None:
    losses.report_silent(5.1, LEAVING, table)
    losses.report_silent(5.1, None, table)
    losses.report_silent(5.1, STATUS, RunTable())
    assert losses.take_updates() == []


def test_replaced_runner_does_not_return(losses: RunnerLosses, table: RunTable) -> None:
    losses.report_silent(5.1, STATUS, table)
    losses.report_replaced(5.4, STATUS, table)
    losses.poll_answered()
    kinds = [type(news) for news in losses.take_updates()]
    assert kinds == [RunnerSilent, RunnerLost]


def test_runs_ordered_after_the_first_failed_poll_are_not_reported(
    losses: RunnerLosses, table: RunTable
) -> None:
    late = Run(RunId(TaskId("c", 0, 0), 1), "e0", "spec", Resources(1000, 64), 0.4, 9.0, "late")
    late.decided_at = 5.05
    table.add(late)
    losses.report_silent(5.1, STATUS, table)
    losses.report_lost(5.8, STATUS, table)
    sent = losses.take_updates()
    assert [news.tasks for news in sent if not isinstance(news, RunnerReturned)] == [
        TASKS,
        TASKS,
    ]


def test_runner_that_announces_its_end_is_not_lost(losses: RunnerLosses, table: RunTable) -> None:
    losses.report_silent(5.1, STATUS, table)
    losses.report_lost(5.8, LEAVING, table)
    assert losses.take_updates()[1:] == [RunnerReturned(LOSS)]


def ended(losses: RunnerLosses) -> list[list[TaskId]]:
    """Take the reports; return the tasks that each reported loss ended with."""
    return [news.ended for news in losses.take_updates() if isinstance(news, RunnerLost)]


@pytest.fixture
def partly_running(table: RunTable) -> RunTable:
    """A table with one task known to be running, and another that was only ordered."""
    (run,) = [run for run in table if run.id.task == TASKS[0]]
    run.mark_running(4.9)
    return table


def test_silent_runner_is_not_known_to_have_ended(
    losses: RunnerLosses, partly_running: RunTable
) -> None:
    losses.report_silent(5.1, STATUS, partly_running)
    losses.report_lost(5.8, STATUS, partly_running)
    assert ended(losses) == [[]]


def test_replaced_runner_has_ended_with_the_tasks_known_to_be_running(
    losses: RunnerLosses, partly_running: RunTable
) -> None:
    losses.report_silent(5.1, STATUS, partly_running)
    losses.report_replaced(5.4, STATUS, partly_running)
    assert ended(losses) == [[TASKS[0]]]


def test_lost_runner_is_reported_again_when_it_is_replaced(
    losses: RunnerLosses, partly_running: RunTable
) -> None:
    losses.report_lost(5.8, STATUS, partly_running)
    losses.report_replaced(8.4, STATUS, RunTable())
    lost = RunnerLost(LOSS, TASKS, ["short", "long"], [100, 800])
    assert losses.take_updates() == [lost, replace(lost, ended=[TASKS[0]])]


def test_second_loss_in_one_silence_keeps_the_tasks_of_the_first(
    losses: RunnerLosses, partly_running: RunTable
) -> None:
    losses.report_lost(5.8, STATUS, partly_running)
    late = RunTable()
    run = Run(RunId(TaskId("c", 0, 0), 1), "e0", "spec", Resources(1000, 64), 0.4, 9.0, "late")
    run.decided_at = 5.9
    late.add(run)
    losses.report_lost(6.6, STATUS, late)
    losses.report_replaced(8.4, STATUS, RunTable())
    assert ended(losses) == [[], [], [TASKS[0]]]


def heartbeat(losses: RunnerLosses) -> None:
    losses.heartbeat_received()


def answer(losses: RunnerLosses) -> None:
    losses.poll_answered()


@pytest.mark.parametrize("sign", [heartbeat, answer])
def test_runner_that_outlived_its_runs_is_not_reported_as_ended_with_them(
    sign: Callable[[RunnerLosses], None], losses: RunnerLosses, partly_running: RunTable
) -> None:
    losses.report_lost(5.8, STATUS, partly_running)
    sign(losses)
    losses.report_replaced(8.4, STATUS, RunTable())
    assert ended(losses) == [[]]


def test_runner_that_announced_its_end_is_not_reported_as_ended(
    losses: RunnerLosses, partly_running: RunTable
) -> None:
    losses.report_lost(5.8, STATUS, partly_running)
    losses.report_replaced(8.4, LEAVING, RunTable())
    assert ended(losses) == [[]]

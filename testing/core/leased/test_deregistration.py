"""Tests that a runner's notice of its end does not end its runs: it may be up for seconds more.

It ends once it has received the acknowledgement, or some seconds later without one.
"""

from collections.abc import Callable

import pytest
from leasedfleet import Fleet
from paddleshunt_core.leased.bounds import Bounds, lease_times
from paddleshunt_core.leased.orders import (
    FinishedRun,
    PollAnswer,
    RunEnd,
    RunnerStatus,
    RunningRun,
    StartAnswer,
    StopRun,
)
from paddleshunt_core.leased.outcomes import Completed
from paddleshunt_core.leased.resources import Resources
from paddleshunt_core.leased.runnercontrol import RunnerControl
from paddleshunt_core.leased.runnerincarnation import RunnerIncarnation
from paddleshunt_core.leased.runtable import Run
from paddleshunt_core.leased.wire import End, RunId, RunnerState, TaskId

RUNNER = RunnerIncarnation("i-1")
STATUS = RunnerStatus(RUNNER, "svc", "hall", Resources(8000, 8000), False, None, sequence=5)
UP_SECONDS = 5.0
"""Seconds for which a runner is up after a notice that was not acknowledged."""


@pytest.fixture
def run() -> Run:
    return Run(RunId(TaskId("job", 0, 0), 1), "e0", "spec", Resources(1000, 64), 6.0, 20.0)


@pytest.fixture
def control(run: Run) -> RunnerControl:
    """Return the control of a runner with a running run."""
    control = RunnerControl(lease_times(Bounds()))
    control.heartbeat_received(1.0, STATUS)
    control.poll_answered(1.1, PollAnswer(1.05, [], []))
    control.add(1.2, [run])
    control.start_answered(1.21, run.id, StartAnswer.STARTED)
    return control


def test_deregistration_stops_runs_but_does_not_end_them(control: RunnerControl, run: Run) -> None:
    effects = control.runner_deregistered(2.0, RUNNER)
    assert StopRun(run.id) in effects
    assert control.take_ends() == []
    assert control.state() is RunnerState.LEAVING


def test_run_of_a_deregistered_runner_ends_once_the_runner_lists_its_end(
    control: RunnerControl, run: Run
) -> None:
    control.runner_deregistered(2.0, RUNNER)
    control.stop_answered(2.01, run.id, done=True)
    control.poll_answered(2.03, PollAnswer(2.02, [RunningRun(run.id, 20)], []))
    assert control.take_ends() == []
    finished = [FinishedRun(1, run.id, RunEnd.STOPPED)]
    control.poll_answered(2.06, PollAnswer(2.05, [], finished, listed=1))
    assert control.take_ends() == [(run, End.STOPPED)]


def test_run_of_a_deregistered_runner_may_yet_be_done(control: RunnerControl, run: Run) -> None:
    control.runner_deregistered(2.0, RUNNER)
    finished = [FinishedRun(1, run.id, RunEnd.DONE)]
    control.poll_answered(2.06, PollAnswer(2.05, [], finished, listed=1))
    assert control.take_ends() == [(run, End.DONE)]


def test_run_of_a_deregistered_silent_runner_ends_with_its_lease(
    control: RunnerControl, run: Run
) -> None:
    control.runner_deregistered(2.0, RUNNER)
    times = lease_times(Bounds())
    control.poll_failed(1.2 + times.hold)
    assert control.take_ends() == []
    control.poll_failed(1.2 + times.run_expiry + 0.01)
    assert control.take_ends() == [(run, End.LOST)]


def test_repeated_deregistration_does_not_prolong_the_lease(control: RunnerControl) -> None:
    """Each renewal is limited by the time since which the runs are unwanted."""
    control.runner_deregistered(2.0, RUNNER)
    control.runner_deregistered(2.5, RUNNER)
    poll = control.next_poll(2.6, renew=True)
    assert poll.until == pytest.approx(2.0 + lease_times(Bounds()).hold)


def test_successor_ends_the_runs_of_a_deregistered_runner(control: RunnerControl, run: Run) -> None:
    control.runner_deregistered(2.0, RUNNER)
    control.poll_failed(2.1, other_incarnation=True)
    assert control.take_ends() == [(run, End.LOST)]


def runner_ends(fleet: Fleet, name: str) -> None:
    fleet.runners[name].crash()


def runner_stays_up(fleet: Fleet, name: str) -> None:
    pass


def runner_answers_nothing(fleet: Fleet, name: str) -> None:
    fleet.runners[name].mute = True


def runner_loses_stops(fleet: Fleet, name: str) -> None:
    fleet.runners[name].loses_stops = True


def target_is_killed(fleet: Fleet, name: str) -> None:
    fleet.kill(name)
    fleet.run(0.3)
    fleet.start(name)


def target_is_frozen(fleet: Fleet, name: str) -> None:
    fleet.freeze(name)
    fleet.run(0.36)
    fleet.thaw(name)


def target_is_frozen_for_longer_than_a_session(fleet: Fleet, name: str) -> None:
    fleet.freeze(name)
    fleet.run(1.4)
    fleet.thaw(name)


def target_is_cut_off(fleet: Fleet, name: str) -> None:
    for entry in fleet.entries:
        fleet.cut(name, entry)
        fleet.cut(entry, name)
    fleet.run(2.0)
    fleet.heal()


@pytest.mark.parametrize(
    "after_notice",
    [
        runner_ends,
        runner_stays_up,
        runner_answers_nothing,
        runner_loses_stops,
        target_is_killed,
        target_is_frozen,
        target_is_frozen_for_longer_than_a_session,
        target_is_cut_off,
    ],
    ids=lambda it: it.__name__,
)
@pytest.mark.parametrize("again", [False, True], ids=["once", "repeated"])
def test_no_task_runs_twice_while_a_deregistered_runner_is_up(
    after_notice: Callable[[Fleet, str], None], *, again: bool
) -> None:
    """`Fleet.check` raises if two runs of a task are at work at once."""
    fleet = Fleet(entries=2, targets=4)
    fleet.settle()
    callers = [
        fleet.submit(f"e{number % 2}", f"job{number}", length=2.5, deadline=20.0)
        for number in range(8)
    ]
    fleet.run(0.5)
    name = max(fleet.runners, key=lambda name: len(fleet.runners[name].running))
    runner = fleet.runners[name]
    assert runner.running
    runner.leaving = True
    runner.stop_seconds = 0.04
    fleet.run(0.4)
    for _ in range(1 + again):
        worker = fleet.workers[name]
        fleet._act_target(name, worker.runner_deregistered(fleet.now, runner.named(name)))
        after_notice(fleet, name)
        fleet.run(0.1)
    fleet.run(UP_SECONDS)
    runner.crash()
    fleet.run(5.0)
    assert [fleet.answers.get(caller) for caller in callers] == [Completed()] * len(callers)

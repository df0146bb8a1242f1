"""Tests that lost poll answers don't let a task crash more runners than permitted."""

from random import Random

import pytest
from leasedfleet import STEP, Fleet
from paddleshunt_core.leased.bounds import Bounds, lease_times
from paddleshunt_core.leased.losses import RETENTION_SECONDS
from paddleshunt_core.leased.orders import PollAnswer, RunnerStatus, StartAnswer, StartRun
from paddleshunt_core.leased.resources import Resources
from paddleshunt_core.leased.runnercontrol import Effect, RunnerControl
from paddleshunt_core.leased.runnerincarnation import RunnerIncarnation
from paddleshunt_core.leased.runtable import Run
from paddleshunt_core.leased.wire import End, RunId, RunnerReturned, TaskId
from paddleshunt_core.leased.worker import Worker

TASK = TaskId("job", 0, 0)
BAD = TaskId("bad", 0, 0)
ROOM = Resources(8000, 8000, 0)


class LossyPollFleet(Fleet):
    """A fleet whose runners answer orders, but not a share of the polls."""

    share = 0.0
    rng = Random(0)

    def _step_target(self, name: str) -> None:
        runner = self.runners[name]
        runner.mute = self.rng.random() < self.share
        super()._step_target(name)
        runner.mute = False


@pytest.mark.parametrize("share", [0.5, 0.7])
@pytest.mark.parametrize("seed", range(6))
def test_crashes_by_one_task_are_bounded_while_polls_are_lost(
    seed: int, share: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The task is started right after a failed poll that the runner survived."""
    poll_failed = Worker.poll_failed

    def delayed_poll_failed(
        self: Worker, now: float, *, other_incarnation: bool = False
    ) -> list[Effect]:
        # A lost poll is noticed after the orders that were sent while it was awaited.
        return poll_failed(self, now + STEP / 2, other_incarnation=other_incarnation)

    monkeypatch.setattr(Worker, "poll_failed", delayed_poll_failed)
    fleet = LossyPollFleet(entries=2, targets=12)
    fleet.settle()
    fleet.share, fleet.rng = share, Random(seed)
    fleet.submit_crashing("e0", "bad", count=1, deadline=6.0)
    fleet.run(6.5)
    assert fleet.crashes.crashed[BAD] <= 2


def test_crashes_by_one_job_are_bounded_while_it_is_sent_again() -> None:
    fleet = Fleet(entries=2, targets=12)
    fleet.settle()
    for second in range(2 * round(RETENTION_SECONDS) + 10):
        fleet.submit_crashing("e0", "bad", count=1, deadline=1.0)
        if second % 20 == 10:
            fleet.submit_crashing("e1", f"other{second}", count=1, deadline=1.0)
        fleet.run(1.0)
    assert fleet.crashes.crashed[BAD] == 2


def status(sequence: int = 1, *, leaving: bool = False) -> RunnerStatus:
    return RunnerStatus(
        RunnerIncarnation("i-1"), "svc", "hall", ROOM, leaving, None, sequence=sequence
    )


def run_of(task: TaskId) -> Run:
    return Run(RunId(task, 1), "e0", "spec", Resources(1000, 64), 0.4, 9.0, "q")


@pytest.fixture
def control() -> RunnerControl:
    """The control of a runner with one running run."""
    control = RunnerControl(lease_times(Bounds()))
    control.heartbeat_received(0.0, status())
    control.poll_answered(0.1, PollAnswer(0.05, [], []))
    run = run_of(TASK)
    control.add(0.2, [run])
    control.start_answered(0.21, run.id, StartAnswer.STARTED)
    return control


def test_nothing_starts_after_a_failed_poll_until_one_is_answered(
    control: RunnerControl,
) -> None:
    control.next_poll(0.26, renew=True)
    control.poll_failed(0.3)
    later = run_of(TaskId("later", 0, 0))
    assert not any(isinstance(effect, StartRun) for effect in control.add(0.31, [later]))
    assert control.take_ends() == [(later, End.NO_ROOM)]
    control.poll_answered(0.4, PollAnswer(0.35, [], []))
    again = run_of(TaskId("again", 0, 0))
    assert any(isinstance(effect, StartRun) for effect in control.add(0.41, [again]))


@pytest.mark.parametrize("lost", [False, True], ids=["silent", "lost"])
def test_deregistration_of_a_silent_runner_withdraws_its_loss(
    lost: bool, control: RunnerControl
) -> None:
    control.next_poll(0.26, renew=True)
    control.poll_failed(0.3)
    control.poll_failed(0.35)
    if lost:
        control.poll_failed(5.0)
    control.runner_deregistered(5.1, RunnerIncarnation("i-1"))
    assert isinstance(control.losses.take_updates()[-1], RunnerReturned)

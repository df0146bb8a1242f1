"""What a target makes of looks that it read late: the time that it stood still is its own."""

import pytest
from paddleshunt_core.leased.bounds import Bounds, lease_times
from paddleshunt_core.leased.health import SICK_SECONDS
from paddleshunt_core.leased.orders import (
    FinishedRun,
    LookAnswer,
    RunEnd,
    RunnerAccount,
    RunningRun,
    StartAnswer,
    StopRun,
)
from paddleshunt_core.leased.resources import Resources
from paddleshunt_core.leased.runnercontrol import RunnerControl
from paddleshunt_core.leased.runnerlife import RunnerLife
from paddleshunt_core.leased.runtable import Run
from paddleshunt_core.leased.wire import Assign, Frame, Health, Hello, RunId, TaskId
from paddleshunt_core.leased.worker import Worker

RUNS = [RunId(TaskId("job", 0, index), 1) for index in range(3)]
ESTIMATE_MS = 600


def at_work() -> Worker:
    """Return a worker on which `RUNS` are known to be at work since 1.0."""
    worker = Worker(lease_times(Bounds()))
    worker.runner_spoke(
        0.9, RunnerAccount(RunnerLife("i-1"), "svc", "hall", Resources(8000, 8000), False, None)
    )
    worker.looked(0.95, LookAnswer(0.92, [], []))
    worker.opened(1.0, Hello("e", "life", True, "hall", "", 1, 0), 1.0)
    tasks = [(run.task.index, 1) for run in RUNS]
    assign = Assign("job", 0, "spec", Resources(1000, 10), ESTIMATE_MS, 4000, tasks)
    worker.heard(1.0, "e", Frame(1, 0, 1000, 1000, [assign]))
    for run in RUNS:
        worker.start_answered(1.0, run, StartAnswer.STARTED)
    return worker


def look(worker: Worker, sent: float, read: float, speed: float = 1.0) -> list[object]:
    """Look at runs that began at 1.0, as the runner shows them at once, and let time pass."""
    worker.next_look(sent)
    percent = int(speed * (sent - 1.0) * 100_000 / ESTIMATE_MS)
    answer = LookAnswer(sent, [RunningRun(run, percent) for run in RUNS], [])
    effects = [*worker.looked(read, answer), *worker.tick(read)]
    return [effect for effect in effects if isinstance(effect, StopRun)]


@pytest.mark.parametrize("stood_still", [0.1, 0.15, 0.2, 0.3])
@pytest.mark.parametrize("sent", [1.0, 1.01, 1.05])
def test_a_runner_does_not_count_as_slow_by_a_look_that_was_read_late(
    sent: float, stood_still: float
) -> None:
    worker = at_work()
    read = sent + stood_still
    assert look(worker, sent, read) == []
    assert look(worker, read, read + 0.001) == []
    assert look(worker, read + 0.05, read + 0.051) == []


@pytest.mark.parametrize("stood_still", [0.0, 0.1, 0.2])
def test_a_slow_runner_is_left_by_looks_that_show_it(stood_still: float) -> None:
    worker = at_work()
    look(worker, 1.01, 1.01 + stood_still, speed=0.2)
    looks = [1.02 + stood_still + 0.05 * step for step in range(4)]
    stopped = [stop for sent in looks for stop in look(worker, sent, sent + 0.001, speed=0.2)]
    assert {stop.run for stop in stopped} == set(RUNS)


@pytest.mark.parametrize(
    ("took", "read", "level"),
    [(0.6, 0.65, Health.GOOD), (0.6, 1.9, Health.GOOD), (1.9, 1.9, Health.SICK)],
    ids=["in-time", "read-late", "slow"],
)
def test_a_runner_proves_itself_by_an_end_that_was_read_late(
    took: float, read: float, level: Health
) -> None:
    control = RunnerControl(lease_times(Bounds()))
    control.runner_spoke(
        0.9, RunnerAccount(RunnerLife("i-1"), "svc", "hall", Resources(8000, 8000), False, None)
    )
    control.looked(0.95, LookAnswer(0.92, [], []))
    control.health.mark_sick(1.0)
    began = 1.1 + SICK_SECONDS
    control.tick(began)
    run = Run(RUNS[0], "e", "spec", Resources(1000, 10), ESTIMATE_MS / 1000, began + 9.0)
    control.add(began, [run])
    control.start_answered(began, run.id, StartAnswer.STARTED)
    control.next_look(began + took, renew=False)
    done = [FinishedRun(1, run.id, RunEnd.DONE)]
    control.looked(began + read, LookAnswer(began + took, [], done))
    assert control.health.level(began + read) is level

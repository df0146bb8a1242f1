"""Tests that a target's own pause before it reads an answer is not counted against its runner."""

import pytest
from paddleshunt_core.leased.bounds import Bounds, lease_times
from paddleshunt_core.leased.health import SICK_SECONDS
from paddleshunt_core.leased.orders import (
    FinishedRun,
    PollAnswer,
    RunEnd,
    RunnerStatus,
    RunningRun,
    StartAnswer,
    StopRun,
)
from paddleshunt_core.leased.resources import Resources
from paddleshunt_core.leased.runnercontrol import RunnerControl
from paddleshunt_core.leased.runnerincarnation import RunnerIncarnation
from paddleshunt_core.leased.runtable import Run
from paddleshunt_core.leased.wire import Assign, Frame, Health, Hello, RunId, TaskId
from paddleshunt_core.leased.worker import Worker

RUNS = [RunId(TaskId("job", 0, index), 1) for index in range(3)]
ESTIMATE_MS = 600


def worker_with_runs() -> Worker:
    """Return a worker on which `RUNS` are known to be running since 1.0."""
    worker = Worker(lease_times(Bounds()))
    worker.heartbeat_received(
        0.9,
        RunnerStatus(RunnerIncarnation("i-1"), "svc", "hall", Resources(8000, 8000), False, None),
    )
    worker.poll_answered(0.95, PollAnswer(0.92, [], []))
    worker.greeting_answered(1.0, Hello("e", "life", True, "hall", "", 1, 0), 1.0)
    tasks = [(run.task.index, 1) for run in RUNS]
    assign = Assign("job", 0, "spec", Resources(1000, 10), ESTIMATE_MS, 4000, tasks)
    worker.frame_received(1.0, "e", Frame(1, 0, 1000, 1000, [assign]))
    for run in RUNS:
        worker.start_answered(1.0, run, StartAnswer.STARTED)
    return worker


def poll(worker: Worker, sent: float, read: float, speed: float = 1.0) -> list[object]:
    """Poll runs started at 1.0 of a runner that answers at once, and return the stops."""
    worker.next_poll(sent)
    percent = int(speed * (sent - 1.0) * 100_000 / ESTIMATE_MS)
    answer = PollAnswer(sent, [RunningRun(run, percent) for run in RUNS], [])
    effects = [*worker.poll_answered(read, answer), *worker.tick(read)]
    return [effect for effect in effects if isinstance(effect, StopRun)]


@pytest.mark.parametrize("pause", [0.1, 0.15, 0.2, 0.3])
@pytest.mark.parametrize("sent", [1.0, 1.01, 1.05])
def test_poll_answer_read_late_does_not_make_a_runner_slow(sent: float, pause: float) -> None:
    worker = worker_with_runs()
    read = sent + pause
    assert poll(worker, sent, read) == []
    assert poll(worker, read, read + 0.001) == []
    assert poll(worker, read + 0.05, read + 0.051) == []


@pytest.mark.parametrize("pause", [0.0, 0.1, 0.2])
def test_slow_runner_is_detected_despite_a_pause(pause: float) -> None:
    worker = worker_with_runs()
    poll(worker, 1.01, 1.01 + pause, speed=0.2)
    polls = [1.02 + pause + 0.05 * step for step in range(4)]
    stopped = [stop for sent in polls for stop in poll(worker, sent, sent + 0.001, speed=0.2)]
    assert {stop.run for stop in stopped} == set(RUNS)


@pytest.mark.parametrize(
    ("duration", "read", "level"),
    [(0.6, 0.65, Health.GOOD), (0.6, 1.9, Health.GOOD), (1.9, 1.9, Health.SICK)],
    ids=["in-time", "read-late", "slow"],
)
def test_end_read_late_counts_with_its_real_duration(
    duration: float, read: float, level: Health
) -> None:
    control = RunnerControl(lease_times(Bounds()))
    control.heartbeat_received(
        0.9,
        RunnerStatus(RunnerIncarnation("i-1"), "svc", "hall", Resources(8000, 8000), False, None),
    )
    control.poll_answered(0.95, PollAnswer(0.92, [], []))
    control.health.mark_sick(1.0)
    started_at = 1.1 + SICK_SECONDS
    control.tick(started_at)
    run = Run(RUNS[0], "e", "spec", Resources(1000, 10), ESTIMATE_MS / 1000, started_at + 9.0)
    control.add(started_at, [run])
    control.start_answered(started_at, run.id, StartAnswer.STARTED)
    control.next_poll(started_at + duration, renew=False)
    done = [FinishedRun(1, run.id, RunEnd.DONE)]
    control.poll_answered(started_at + read, PollAnswer(started_at + duration, [], done))
    assert control.health.level(started_at + read) is level

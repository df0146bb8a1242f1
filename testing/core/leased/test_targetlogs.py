"""Tests of the target's log lines on outdated decisions and lost leases."""

import pytest
from paddleshunt_core.events import Log
from paddleshunt_core.leased.bounds import Bounds, lease_times
from paddleshunt_core.leased.orders import (
    PollAnswer,
    RunnerStatus,
    RunningRun,
    StartAnswer,
    StartRun,
)
from paddleshunt_core.leased.resources import Resources
from paddleshunt_core.leased.runnerincarnation import RunnerIncarnation
from paddleshunt_core.leased.wire import Assign, Frame, Hello, RunId, TaskId
from paddleshunt_core.leased.worker import Worker

TIMES = lease_times(Bounds())
NEED = Resources(1000, 10)
RUN = RunId(TaskId("job", 0, 0), 1)


def assign(job: str) -> Assign:
    return Assign(job, 0, "spec", NEED, 400, 4000, [(0, 1)])


def log_fields(effects: list[object], event: str) -> list[dict[str, object]]:
    """Return the fields of the log lines of one event."""
    return [dict(e.fields) for e in effects if isinstance(e, Log) and e.event == event]


@pytest.fixture
def worker() -> Worker:
    """A worker with a session of one entry since 1.0, whose runner was polled."""
    worker = Worker(TIMES)
    worker.heartbeat_received(
        0.9, RunnerStatus(RunnerIncarnation("i-1"), "svc", "hall", NEED + NEED, False, None)
    )
    worker.poll_answered(0.95, PollAnswer(0.92, [], []))
    worker.greeting_answered(1.0, Hello("e", "life", True, "hall", "", 1, 0), 1.0)
    return worker


def test_order_has_its_entry_and_decision_time(worker: Worker) -> None:
    effects = worker.frame_received(1.1, "e", Frame(1, 0, 1100, 1000, [assign("job")]))
    orders = [effect for effect in effects if isinstance(effect, StartRun)]
    assert [(order.entry, order.decided) for order in orders] == [("e", 1.1)]


def test_remaining_session_lease_counts_from_the_newest_echo(worker: Worker) -> None:
    worker.frame_received(1.3, "e", Frame(1, 0, 1300, 1200, []))
    assert worker.session_lease_left(1.3, "e") == pytest.approx(TIMES.session - 0.1)
    assert worker.session_lease_left(1.3, "unknown") == 0.0


def test_pause_is_logged_once_with_its_length(worker: Worker) -> None:
    worker.tick(1.1)
    assert log_fields(worker.tick(1.2), "stood_still") == []
    assert log_fields(worker.tick(2.7), "stood_still") == [{"seconds": 1.5, "runs": 0}]
    assert log_fields(worker.tick(2.8), "stood_still") == []


def test_lapsed_run_is_logged_with_its_reasons(worker: Worker) -> None:
    worker.frame_received(1.0, "e", Frame(1, 0, 1000, 1000, [assign("job")]))
    effects = worker.poll_failed(2.5)
    assert log_fields(effects, "run_lapsed") == [
        {
            "run": 1,
            "phase": "starting",
            "lease_over_ms": round((1.5 - TIMES.hold) * 1000),
            "answered": False,
        }
    ]


def test_returned_assignment_is_logged_with_its_reason(worker: Worker) -> None:
    foreign = RunId(TaskId("other", 0, 0), 1)
    worker.poll_answered(1.05, PollAnswer(1.04, [RunningRun(foreign, 5)], []))
    effects = worker.frame_received(1.1, "e", Frame(1, 0, 1100, 1050, [assign("job")]))
    assert [line["reason"] for line in log_fields(effects, "run_ended")] == ["foreign_runs"]


def test_lost_runner_is_logged_with_its_runs_and_their_durations(worker: Worker) -> None:
    worker.frame_received(1.1, "e", Frame(1, 0, 1100, 1000, [assign("job")]))
    worker.start_answered(1.102, RUN, StartAnswer.STARTED)
    worker.next_poll(1.12)
    worker.poll_failed(1.13)
    over = 1.12 + TIMES.run_expiry + 0.01
    (line,) = log_fields(worker.poll_failed(over), "runner_lost")
    assert line == {"runner": "i-1", "how": "silent", "runs": 1, "worked_ms": "job.0.0#1:30"}

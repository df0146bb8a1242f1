"""Tests that no run outlives its lease, even if leases of other runs are renewed."""

import pytest
from leasedfleet import Fleet
from paddleshunt_core.events import Log
from paddleshunt_core.leased.bounds import Bounds, lease_times
from paddleshunt_core.leased.orders import (
    PollAnswer,
    RunnerStatus,
    RunningRun,
    StartAnswer,
    StartRun,
    StopRun,
)
from paddleshunt_core.leased.resources import NO_RESOURCES, Resources
from paddleshunt_core.leased.runnerincarnation import RunnerIncarnation
from paddleshunt_core.leased.wire import (
    Assign,
    End,
    Ended,
    Frame,
    Hello,
    RunId,
    RunnerReport,
    TaskId,
)
from paddleshunt_core.leased.worker import Worker

TIMES = lease_times(Bounds())
NEED = Resources(1000, 10)


def assign(job: str, number: int = 1) -> Assign:
    return Assign(job, 0, "spec", NEED, 400, 4000, [(0, number)])


def run(job: str, number: int = 1) -> RunId:
    return RunId(TaskId(job, 0, 0), number)


def send(worker: Worker, entry: str, at: float, number: int, *bodies: Assign) -> list[object]:
    """Let a connected entry send a frame."""
    stamp = round(at * 1000)
    return list(worker.frame_received(at, entry, Frame(number, 0, stamp, stamp, list(bodies))))


def bodies(worker: Worker, entry: str, at: float) -> list[object]:
    """Return the bodies of the frame sent to an entry now."""
    worker.prepare_frames(at)
    session = worker.session(entry)
    assert session is not None
    return list(session.frame(round(at * 1000)).bodies)


@pytest.fixture
def worker() -> Worker:
    """A worker with sessions of two entries since 1.0, and capacity for eight tasks."""
    worker = Worker(TIMES)
    status = RunnerStatus(
        RunnerIncarnation("i-1"), "svc", "hall", Resources(8000, 8000), False, None
    )
    worker.heartbeat_received(0.9, status)
    worker.poll_answered(0.95, PollAnswer(0.92, [], []))
    for entry in ("a", "b"):
        worker.greeting_answered(1.0, Hello(entry, "life", True, "hall", "", 1, 0), 1.0)
    return worker


def test_lease_counts_from_the_decision(worker: Worker) -> None:
    effects = send(worker, "a", 1.1, 1, assign("job"))
    assert [e.until for e in effects if isinstance(e, StartRun)] == [1.1 + TIMES.hold]
    assert worker.next_poll(1.2).until == pytest.approx(1.2 + TIMES.hold)


def test_unanswered_start_extends_the_lease_of_other_runs(worker: Worker) -> None:
    send(worker, "a", 1.0, 1, assign("one"))
    worker.start_answered(1.01, run("one"), StartAnswer.STARTED)
    send(worker, "a", 1.4, 2, assign("two"))
    worker.start_answered(1.45, run("two"), StartAnswer.UNKNOWN)
    effects = worker.poll_failed(1.02 + TIMES.run_expiry)
    assert "run_lapsed" not in [e.event for e in effects if isinstance(e, Log)]
    effects = worker.poll_failed(1.42 + TIMES.run_expiry)
    assert [e.event for e in effects if isinstance(e, Log)].count("run_lapsed") == 2


def silence_entry_a(worker: Worker, until: float) -> list[object]:
    """Let entry a be silent and b send frames; the runner confirms no order."""
    effects: list[object] = []
    at, number = 1.05, 1
    while at < until:
        effects += send(worker, "b", at, number)
        effects += worker.tick(at)
        row = RunningRun(run("job"), min(99, round((at - 1.0) * 250)))
        worker.poll_answered(at, PollAnswer(at - 0.01, [row], []))
        at += 0.05
    return effects


def test_unconfirmed_stop_of_an_ended_sessions_run_limits_the_lease(
    worker: Worker,
) -> None:
    send(worker, "a", 1.0, 1, assign("job"))
    worker.start_answered(1.01, run("job"), StartAnswer.STARTED)
    lease_end = 1.0 + TIMES.session
    effects = silence_entry_a(worker, lease_end + 0.3)
    assert StopRun(run("job")) in effects
    assert worker.next_poll(lease_end + 0.3).until == pytest.approx(lease_end + TIMES.hold)
    silence_entry_a(worker, lease_end + TIMES.hold + 0.05)
    assert worker.next_poll(lease_end + TIMES.hold + 0.05).until is None


def test_nothing_starts_if_it_would_extend_the_lease_of_unwanted_runs(worker: Worker) -> None:
    send(worker, "a", 1.0, 1, assign("job"))
    worker.start_answered(1.01, run("job"), StartAnswer.STARTED)
    late = 1.0 + TIMES.session + TIMES.hold
    silence_entry_a(worker, late)
    effects = send(worker, "b", late, 1, assign("other"))
    assert not [e for e in effects if isinstance(e, StartRun)]


def test_confirmed_stop_does_not_limit_the_lease(worker: Worker) -> None:
    send(worker, "a", 1.0, 1, assign("job"))
    worker.start_answered(1.01, run("job"), StartAnswer.STARTED)
    at = 1.0 + TIMES.session + 0.3
    silence_entry_a(worker, at)
    worker.stop_answered(at, run("job"), done=True)
    assert worker.next_poll(at).until == pytest.approx(at + TIMES.hold)


def test_no_capacity_is_offered_while_nothing_may_start(worker: Worker) -> None:
    bodies(worker, "a", 1.0)
    foreign = run("foreign")
    worker.poll_answered(1.1, PollAnswer(1.09, [RunningRun(foreign, 5)], []))
    send(worker, "a", 1.12, 1, assign("job"))
    sent = bodies(worker, "a", 1.2)
    assert [body.free for body in sent if isinstance(body, RunnerReport)] == [NO_RESOURCES]


def test_task_with_a_run_on_the_target_gets_no_second_one(worker: Worker) -> None:
    send(worker, "a", 1.0, 1, assign("job", 1))
    effects = send(worker, "b", 1.01, 1, assign("job", 2))
    assert not [e for e in effects if isinstance(e, StartRun)]
    ended = [body for body in bodies(worker, "b", 1.02) if isinstance(body, Ended)]
    assert ended == [Ended([(run("job", 2), End.NOT_STARTED)])]


def test_lost_stops_do_not_let_a_task_run_twice() -> None:
    fleet = Fleet(entries=2, targets=2)
    fleet.settle()
    fleet.submit("e0", "job", count=1, length=6.0, deadline=9.0)
    fleet.run(0.1)
    (holder,) = [name for name, runner in fleet.runners.items() if runner.running]
    fleet.runners[holder].loses_stops = True
    fleet.cut("e0", holder)
    fleet.cut(holder, "e0")
    fleet.run(4.0)
    started = sum(sum(runner.starts.values()) for runner in fleet.runners.values())
    assert started >= 2


@pytest.mark.parametrize("suspended", [0.0, 1.0, 4.0], ids=lambda seconds: f"{seconds:g}s")
def test_suspension_of_the_host_extends_the_lease(suspended: float, worker: Worker) -> None:
    """The runner's clock stops with its host, so its runs may continue that much longer."""
    send(worker, "a", 1.1, 1, assign("job"))
    worker.start_answered(1.101, run("job"), StartAnswer.STARTED)
    if suspended:
        worker.suspended(suspended)
    last = 1.1 + suspended + TIMES.run_expiry
    worker.poll_failed(last - 0.01)
    assert worker.runs == 1
    worker.poll_failed(last + 0.01)
    assert worker.runs == 0

"""Runners whose capacity changes while tasks run and start orders are under way."""

import pytest
from leasedfleet import CAPACITY, Fleet
from paddleshunt_core.leased.bounds import Bounds, lease_times
from paddleshunt_core.leased.orders import PollAnswer, RunnerStatus, StartAnswer, StartRun
from paddleshunt_core.leased.outcomes import Completed
from paddleshunt_core.leased.resources import Resources
from paddleshunt_core.leased.runnerincarnation import RunnerIncarnation
from paddleshunt_core.leased.wire import Assign, End, Ended, Frame, Hello, RunnerReport
from paddleshunt_core.leased.worker import Worker

FULL_CAPACITY = Resources(4000, 100)
HALF_CAPACITY = Resources(2000, 100)
NEED = Resources(1000, 10)


def status(capacity: Resources, sequence: int) -> RunnerStatus:
    return RunnerStatus(
        RunnerIncarnation("i-1"), "svc", "hall", capacity, False, None, sequence=sequence
    )


@pytest.fixture
def worker() -> Worker:
    """A worker in session with an entry since 1.0, whose runner has room for four tasks."""
    worker = Worker(lease_times(Bounds()))
    worker.heartbeat_received(0.9, status(FULL_CAPACITY, 1))
    worker.poll_answered(0.95, PollAnswer(0.92, [], []))
    worker.greeting_answered(1.0, Hello("e", "life", True, "hall", "", 1, 0), 1.0)
    return worker


def orders(worker: Worker, now: float, tasks: int) -> list[StartRun]:
    """Return the start orders that an assignment of so many tasks causes."""
    session = worker.session("e")
    assert session is not None
    body = Assign(f"job{now}", 0, "spec", NEED, 400, 4000, [(index, 1) for index in range(tasks)])
    stamp = round(now * 1000)
    frame = Frame(session.received + 1, 0, stamp, stamp, [body])
    return [
        effect for effect in worker.frame_received(now, "e", frame) if isinstance(effect, StartRun)
    ]


def message_bodies(worker: Worker, now: float) -> list[object]:
    """Return the message bodies due for the entry."""
    session = worker.session("e")
    assert session is not None
    worker.prepare_frames(now)
    return list(session.frame(round(now * 1000)).bodies)


def test_unsent_start_orders_are_withdrawn_until_the_rest_fits(worker: Worker) -> None:
    """Four orders are issued together, and the runner shrinks before any is sent."""
    started = orders(worker, 1.1, 4)
    worker.heartbeat_received(1.11, status(HALF_CAPACITY, 2))
    sent = 0
    for order in started:
        if worker.may_send(1.12, order.run, "e"):
            sent += 1
            worker.start_answered(1.13, order.run, StartAnswer.STARTED)
        else:
            worker.start_answered(1.13, order.run, StartAnswer.WITHDRAWN)
    assert sent == 2
    (ended,) = [body for body in message_bodies(worker, 1.14) if isinstance(body, Ended)]
    assert [end for _, end in ended.ends] == [End.NOT_STARTED, End.NOT_STARTED]


def test_running_tasks_continue_and_none_starts_above_capacity(worker: Worker) -> None:
    for order in orders(worker, 1.1, 3):
        worker.start_answered(1.11, order.run, StartAnswer.STARTED)
    assert not [
        e
        for e in worker.heartbeat_received(1.2, status(HALF_CAPACITY, 2))
        if isinstance(e, StartRun)
    ]
    assert orders(worker, 1.21, 1) == []
    assert worker.runs == 3


def test_capacity_that_returns_is_used_at_once(worker: Worker) -> None:
    worker.heartbeat_received(1.1, status(Resources(), 2))
    assert orders(worker, 1.11, 1) == []
    reports = [body for body in message_bodies(worker, 1.2) if isinstance(body, RunnerReport)]
    assert reports[-1].free == Resources()
    worker.heartbeat_received(1.3, status(FULL_CAPACITY, 3))
    reports = [body for body in message_bodies(worker, 1.4) if isinstance(body, RunnerReport)]
    assert reports[-1].free == FULL_CAPACITY
    assert len(orders(worker, 1.41, 4)) == 4


def test_an_outdated_heartbeat_does_not_restore_capacity(worker: Worker) -> None:
    worker.heartbeat_received(1.1, status(HALF_CAPACITY, 5))
    worker.heartbeat_received(1.2, status(FULL_CAPACITY, 4))
    assert len(orders(worker, 1.3, 4)) == 2


@pytest.mark.parametrize("least", [0, 2000], ids=["to_nothing", "to_a_quarter"])
def test_no_runner_is_overloaded_when_all_shrink_at_once(least: int) -> None:
    """`Fleet.check` verifies the capacity at each start, including runs that are being stopped."""
    fleet = Fleet(entries=2, targets=4)
    for runner in fleet.runners.values():
        runner.guards = False
    fleet.settle()
    for number in range(40):
        fleet.submit(f"e{number % 2}", f"job{number}", count=4, length=0.4)
        fleet.run(0.05)
        if number % 10 == 3:
            for runner in fleet.runners.values():
                runner.resize(fleet.now, Resources(least, 8000))
        if number % 10 == 8:
            for runner in fleet.runners.values():
                runner.resize(fleet.now, CAPACITY)
    fleet.run(2.0)
    caller = fleet.submit("e0", "after", count=8)
    fleet.run(1.0)
    assert fleet.answers[caller] == Completed()

"""Evacuated data halls: which set is adopted, and that their targets start nothing."""

from typing import cast

import pytest
from leasedfleet import Fleet
from paddleshunt_core.leased.bounds import Bounds, lease_times
from paddleshunt_core.leased.evacuation import EvacuatedHalls, Evacuations
from paddleshunt_core.leased.orders import PollAnswer, RunnerStatus, StartAnswer, StartRun, StopRun
from paddleshunt_core.leased.outcomes import Completed
from paddleshunt_core.leased.resources import Resources
from paddleshunt_core.leased.runnerincarnation import RunnerIncarnation
from paddleshunt_core.leased.wire import (
    Assign,
    End,
    Ended,
    EvacuationUpdate,
    Frame,
    Hello,
    RunId,
    RunnerReport,
    RunnerState,
    Stop,
    TaskId,
)
from paddleshunt_core.leased.worker import Worker

RUN = RunId(TaskId("job", 0, 0), 1)
ASSIGN = Assign("job", 0, "spec", Resources(1000, 10), 400, 4000, [(0, 1)])
HALL_A = EvacuatedHalls(20, ("a",))


@pytest.mark.parametrize(
    ("updates", "expected"),
    [
        ([HALL_A], ("a",)),
        ([HALL_A, EvacuatedHalls(19, ())], ("a",)),
        ([HALL_A, EvacuatedHalls(21, ())], ()),
        ([EvacuatedHalls(21, ()), HALL_A], ()),
        ([HALL_A, EvacuatedHalls(30, ()), EvacuatedHalls(40, ("a",)), HALL_A], ("a",)),
    ],
    ids=["set", "late_absence", "withdrawn", "late_set", "set_again"],
)
def test_the_set_of_the_latest_revision_counts(
    updates: list[EvacuatedHalls], expected: tuple[str, ...]
) -> None:
    evacuations = Evacuations()
    for update in updates:
        evacuations.learn(update)
    assert evacuations.known.halls == expected


def test_only_a_sender_with_an_older_and_different_set_needs_an_update() -> None:
    evacuations = Evacuations()
    evacuations.learn(HALL_A)
    assert evacuations.supersedes(EvacuatedHalls(10, ()))
    assert not evacuations.supersedes(EvacuatedHalls(10, ("a",)))
    assert not evacuations.supersedes(EvacuatedHalls(25, ()))


def worker_in(hall: str) -> Worker:
    """Return a worker in session with the entry `e`."""
    worker = Worker(lease_times(Bounds()), hall)
    status = RunnerStatus(RunnerIncarnation("i-1"), "svc", hall, Resources(8000, 8000), False, None)
    worker.heartbeat_received(0.9, status)
    worker.poll_answered(0.95, PollAnswer(0.92, [], []))
    worker.greeting_answered(1.0, Hello("e", "life", True, "hall", "", 1, 0), 1.0)
    return worker


def sent(worker: Worker, now: float) -> list[object]:
    """Return the message bodies due for the entry `e`."""
    worker.prepare_frames(now)
    session = worker.session("e")
    assert session is not None
    return cast("list[object]", session.frame(int(now * 1000)).bodies)


def test_an_assignment_to_an_evacuated_hall_is_returned() -> None:
    worker = worker_in("a")
    effects = worker.frame_received(
        1.0, "e", Frame(1, 0, 1000, 1000, [EvacuationUpdate(HALL_A), ASSIGN])
    )
    assert not [effect for effect in effects if isinstance(effect, StartRun)]
    bodies = sent(worker, 1.01)
    assert Ended([(RUN, End.NOT_STARTED)]) in bodies
    states = [body.state for body in bodies if isinstance(body, RunnerReport)]
    assert states == [RunnerState.EVACUATED]


def test_an_evacuation_withdraws_an_unsent_start_order() -> None:
    worker = worker_in("a")
    worker.frame_received(1.0, "e", Frame(1, 0, 1000, 1000, [ASSIGN]))
    assert worker.may_send(1.0, RUN, "e")
    worker.frame_received(1.001, "e", Frame(2, 0, 1001, 1001, [EvacuationUpdate(HALL_A)]))
    assert not worker.may_send(1.001, RUN, "e")
    worker.start_answered(1.002, RUN, StartAnswer.WITHDRAWN)
    assert Ended([(RUN, End.NOT_STARTED)]) in sent(worker, 1.01)


def test_running_tasks_of_an_evacuated_hall_continue() -> None:
    worker = worker_in("a")
    worker.frame_received(1.0, "e", Frame(1, 0, 1000, 1000, [ASSIGN]))
    worker.start_answered(1.001, RUN, StartAnswer.STARTED)
    effects = worker.frame_received(1.002, "e", Frame(2, 0, 1002, 1002, [EvacuationUpdate(HALL_A)]))
    assert not [effect for effect in effects if isinstance(effect, StopRun)]
    assert worker.runs == 1


@pytest.mark.parametrize("same_frame", [True, False], ids=["one_frame", "two_frames"])
def test_a_start_order_is_not_sent_after_its_stop(*, same_frame: bool) -> None:
    worker = worker_in("a")
    if same_frame:
        effects = worker.frame_received(1.0, "e", Frame(1, 0, 1000, 1000, [ASSIGN, Stop([RUN])]))
        assert not [effect for effect in effects if isinstance(effect, StartRun)]
    else:
        worker.frame_received(1.0, "e", Frame(1, 0, 1000, 1000, [ASSIGN]))
        worker.frame_received(1.0, "e", Frame(2, 0, 1000, 1000, [Stop([RUN])]))
        assert not worker.may_send(1.0, RUN, "e")
        assert worker.start_answered(1.0, RUN, StartAnswer.WITHDRAWN)
    assert not worker.may_send(1.0, RUN, "e")
    assert worker.idle


def test_a_start_order_is_not_sent_after_the_session_has_expired() -> None:
    times = lease_times(Bounds())
    worker = worker_in("a")
    worker.frame_received(1.0, "e", Frame(1, 0, 1000, 1000, [ASSIGN]))
    assert not worker.may_send(1.0 + times.session + 0.01, RUN, "e")


def test_a_target_updates_an_outdated_entry() -> None:
    worker = worker_in("a")
    worker.frame_received(1.0, "e", Frame(1, 0, 1000, 1000, [EvacuationUpdate(HALL_A)]))
    worker.frame_received(
        1.1, "e", Frame(2, 0, 1100, 1100, [EvacuationUpdate(EvacuatedHalls(10, ()))])
    )
    assert EvacuationUpdate(HALL_A) in sent(worker, 1.11)


# The targets of a test fleet are all in the hall `hall`.

HALL = EvacuatedHalls(20, ("hall",))


def set_evacuated(fleet: Fleet, entry: str, update: EvacuatedHalls) -> None:
    fleet.dispatchers[entry].handle_evacuations(fleet.now, update, "store")


def starts(fleet: Fleet) -> int:
    return sum(sum(runner.starts.values()) for runner in fleet.runners.values())


def test_nothing_starts_in_an_evacuated_hall_and_running_jobs_complete() -> None:
    fleet = Fleet()
    fleet.settle()
    early_job = fleet.submit("e0", "before", length=0.5)
    fleet.run(0.05)
    started_before = starts(fleet)
    set_evacuated(fleet, "e0", HALL)
    # Only the targets know of the evacuation, not the other entry.
    fleet.run(0.01)
    fleet.submit("e1", "after", length=0.2)
    fleet.run(0.7)
    assert fleet.answers[early_job] == Completed()
    assert starts(fleet) == started_before


def test_tasks_start_again_after_an_evacuation_ends() -> None:
    fleet = Fleet()
    fleet.settle()
    set_evacuated(fleet, "e0", HALL)
    fleet.run(0.2)
    set_evacuated(fleet, "e0", EvacuatedHalls(30, ()))
    fleet.run(0.2)
    callers = [fleet.submit(entry, f"job-{entry}") for entry in ("e0", "e1")]
    fleet.run(1.0)
    assert [fleet.answers.get(caller) for caller in callers] == [Completed()] * 2


def test_an_outdated_entry_is_updated_by_a_target() -> None:
    fleet = Fleet()
    fleet.settle()
    set_evacuated(fleet, "e0", HALL)
    fleet.run(0.2)
    fleet.kill("e1")
    fleet.start("e1")
    set_evacuated(fleet, "e1", EvacuatedHalls(10, ()))
    fleet.settle()
    assert fleet.dispatchers["e1"].evacuations.covers("hall")


def test_a_target_paused_during_the_end_of_an_evacuation_is_updated() -> None:
    fleet = Fleet(entries=2, targets=1)
    fleet.settle()
    set_evacuated(fleet, "e0", HALL)
    fleet.run(0.2)
    fleet.freeze("t0")
    set_evacuated(fleet, "e0", EvacuatedHalls(30, ()))
    fleet.kill("e0")
    # This entry learns only later, that no hall is evacuated.
    set_evacuated(fleet, "e1", EvacuatedHalls(31, ()))
    fleet.run(1.5)
    fleet.thaw("t0")
    fleet.run(1.0)
    caller = fleet.submit("e1", "job")
    fleet.run(1.0)
    assert fleet.answers.get(caller) == Completed()


def test_a_target_paused_while_its_hall_is_evacuated_starts_nothing() -> None:
    fleet = Fleet(entries=1, targets=1)
    fleet.settle()
    fleet.freeze("t0")
    fleet.submit("e0", "job", count=4)
    set_evacuated(fleet, "e0", HALL)
    fleet.run(0.3)
    fleet.thaw("t0")
    fleet.run(1.0)
    assert starts(fleet) == 0

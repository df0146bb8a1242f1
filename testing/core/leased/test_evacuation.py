"""Which data halls are evacuated, and that their targets start nothing."""

from typing import cast

import pytest
from leasedfleet import Fleet
from paddleshunt_core.leased.bounds import Bounds, lease_times
from paddleshunt_core.leased.evacuation import EvacuatedHalls, Evacuations
from paddleshunt_core.leased.orders import LookAnswer, RunnerAccount, StartAnswer, StartRun, StopRun
from paddleshunt_core.leased.outcomes import Completed
from paddleshunt_core.leased.resources import Resources
from paddleshunt_core.leased.runnerlife import RunnerLife
from paddleshunt_core.leased.wire import (
    Assign,
    End,
    Ended,
    EvacuationNews,
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
    ("told", "expected"),
    [
        ([HALL_A], ("a",)),
        ([HALL_A, EvacuatedHalls(19, ())], ("a",)),
        ([HALL_A, EvacuatedHalls(21, ())], ()),
        ([EvacuatedHalls(21, ()), HALL_A], ()),
        ([HALL_A, EvacuatedHalls(30, ()), EvacuatedHalls(40, ("a",)), HALL_A], ("a",)),
    ],
    ids=["set", "late_absence", "taken_back", "late_word", "set_again"],
)
def test_the_word_of_the_latest_revision_holds(
    told: list[EvacuatedHalls], expected: tuple[str, ...]
) -> None:
    evacuations = Evacuations()
    for word in told:
        evacuations.learn(word)
    assert evacuations.known.halls == expected


def test_only_a_teller_that_takes_other_halls_for_evacuated_is_outdated() -> None:
    evacuations = Evacuations()
    evacuations.learn(HALL_A)
    assert evacuations.outdates(EvacuatedHalls(10, ()))
    assert not evacuations.outdates(EvacuatedHalls(10, ("a",)))
    assert not evacuations.outdates(EvacuatedHalls(25, ()))


def worker_in(hall: str) -> Worker:
    """Return a worker in session with the entry `e`."""
    worker = Worker(lease_times(Bounds()), hall)
    account = RunnerAccount(RunnerLife("i-1"), "svc", hall, Resources(8000, 8000), False, None)
    worker.runner_spoke(0.9, account)
    worker.looked(0.95, LookAnswer(0.92, [], []))
    worker.opened(1.0, Hello("e", "life", True, "hall", "", 1, 0), 1.0)
    return worker


def sent(worker: Worker, now: float) -> list[object]:
    """Return what is due for the entry `e`."""
    worker.prepare_frames(now)
    session = worker.session("e")
    assert session is not None
    return cast("list[object]", session.frame(int(now * 1000)).bodies)


def test_an_assignment_to_an_evacuated_hall_is_given_back() -> None:
    worker = worker_in("a")
    effects = worker.heard(1.0, "e", Frame(1, 0, 1000, 1000, [EvacuationNews(HALL_A), ASSIGN]))
    assert not [effect for effect in effects if isinstance(effect, StartRun)]
    bodies = sent(worker, 1.01)
    assert Ended([(RUN, End.NOT_STARTED)]) in bodies
    states = [body.state for body in bodies if isinstance(body, RunnerReport)]
    assert states == [RunnerState.EVACUATED]


def test_an_order_that_waits_to_be_sent_is_withdrawn_by_an_evacuation() -> None:
    worker = worker_in("a")
    worker.heard(1.0, "e", Frame(1, 0, 1000, 1000, [ASSIGN]))
    assert worker.may_send(1.0, RUN, "e")
    worker.heard(1.001, "e", Frame(2, 0, 1001, 1001, [EvacuationNews(HALL_A)]))
    assert not worker.may_send(1.001, RUN, "e")
    worker.start_answered(1.002, RUN, StartAnswer.WITHDRAWN)
    assert Ended([(RUN, End.NOT_STARTED)]) in sent(worker, 1.01)


def test_what_runs_in_an_evacuated_hall_goes_on() -> None:
    worker = worker_in("a")
    worker.heard(1.0, "e", Frame(1, 0, 1000, 1000, [ASSIGN]))
    worker.start_answered(1.001, RUN, StartAnswer.STARTED)
    effects = worker.heard(1.002, "e", Frame(2, 0, 1002, 1002, [EvacuationNews(HALL_A)]))
    assert not [effect for effect in effects if isinstance(effect, StopRun)]
    assert worker.runs == 1


@pytest.mark.parametrize("same_frame", [True, False], ids=["one_frame", "two_frames"])
def test_an_order_is_not_sent_once_its_stop_is_known(*, same_frame: bool) -> None:
    worker = worker_in("a")
    if same_frame:
        effects = worker.heard(1.0, "e", Frame(1, 0, 1000, 1000, [ASSIGN, Stop([RUN])]))
        assert not [effect for effect in effects if isinstance(effect, StartRun)]
    else:
        worker.heard(1.0, "e", Frame(1, 0, 1000, 1000, [ASSIGN]))
        worker.heard(1.0, "e", Frame(2, 0, 1000, 1000, [Stop([RUN])]))
        assert not worker.may_send(1.0, RUN, "e")
        assert worker.start_answered(1.0, RUN, StartAnswer.WITHDRAWN)
    assert not worker.may_send(1.0, RUN, "e")
    assert worker.idle


def test_an_order_is_not_sent_once_its_entrys_session_is_over() -> None:
    times = lease_times(Bounds())
    worker = worker_in("a")
    worker.heard(1.0, "e", Frame(1, 0, 1000, 1000, [ASSIGN]))
    assert not worker.may_send(1.0 + times.session + 0.01, RUN, "e")


def test_a_target_puts_an_entry_right_that_knows_less() -> None:
    worker = worker_in("a")
    worker.heard(1.0, "e", Frame(1, 0, 1000, 1000, [EvacuationNews(HALL_A)]))
    worker.heard(1.1, "e", Frame(2, 0, 1100, 1100, [EvacuationNews(EvacuatedHalls(10, ()))]))
    assert EvacuationNews(HALL_A) in sent(worker, 1.11)


# With entries, in a fleet whose targets are all in the hall `hall`.

HALL = EvacuatedHalls(20, ("hall",))


def tell(fleet: Fleet, entry: str, word: EvacuatedHalls) -> None:
    fleet.dispatchers[entry].handle_evacuations(fleet.now, word, "store")


def starts(fleet: Fleet) -> int:
    return sum(sum(runner.starts.values()) for runner in fleet.runners.values())


def test_nothing_starts_in_an_evacuated_hall_and_all_ends_in_peace() -> None:
    fleet = Fleet()
    fleet.settle()
    before = fleet.submit("e0", "before", length=0.5)
    fleet.run(0.05)
    begun = starts(fleet)
    tell(fleet, "e0", HALL)
    # The other entry has not heard of it; the targets have.
    fleet.run(0.01)
    fleet.submit("e1", "after", length=0.2)
    fleet.run(0.7)
    assert fleet.answers[before] == Completed()
    assert starts(fleet) == begun


def test_work_returns_when_the_evacuation_is_taken_back() -> None:
    fleet = Fleet()
    fleet.settle()
    tell(fleet, "e0", HALL)
    fleet.run(0.2)
    tell(fleet, "e0", EvacuatedHalls(30, ()))
    fleet.run(0.2)
    callers = [fleet.submit(entry, f"job-{entry}") for entry in ("e0", "e1")]
    fleet.run(1.0)
    assert [fleet.answers.get(caller) for caller in callers] == [Completed()] * 2


def test_an_entry_without_the_word_learns_it_from_a_target() -> None:
    fleet = Fleet()
    fleet.settle()
    tell(fleet, "e0", HALL)
    fleet.run(0.2)
    fleet.kill("e1")
    fleet.start("e1")
    tell(fleet, "e1", EvacuatedHalls(10, ()))
    fleet.settle()
    assert fleet.dispatchers["e1"].evacuations.covers("hall")


def test_a_target_that_stood_still_across_the_end_of_an_evacuation_hears_of_it() -> None:
    fleet = Fleet(entries=2, targets=1)
    fleet.settle()
    tell(fleet, "e0", HALL)
    fleet.run(0.2)
    fleet.freeze("t0")
    tell(fleet, "e0", EvacuatedHalls(30, ()))
    fleet.kill("e0")
    # This one never heard of the evacuation, only, later, that there is none.
    tell(fleet, "e1", EvacuatedHalls(31, ()))
    fleet.run(1.5)
    fleet.thaw("t0")
    fleet.run(1.0)
    caller = fleet.submit("e1", "job")
    fleet.run(1.0)
    assert fleet.answers.get(caller) == Completed()


def test_a_target_that_stands_still_as_its_hall_is_evacuated_starts_nothing_after() -> None:
    fleet = Fleet(entries=1, targets=1)
    fleet.settle()
    fleet.freeze("t0")
    fleet.submit("e0", "job", count=4)
    tell(fleet, "e0", HALL)
    fleet.run(0.3)
    fleet.thaw("t0")
    fleet.run(1.0)
    assert starts(fleet) == 0

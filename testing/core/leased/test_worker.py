"""The target's worker, step by step."""

from paddleshunt_core.leased.bounds import Bounds, lease_times
from paddleshunt_core.leased.orders import (
    LookAnswer,
    RunnerAccount,
    RunningRun,
    StartAnswer,
    StartRun,
    StopRun,
)
from paddleshunt_core.leased.resources import Resources
from paddleshunt_core.leased.wire import Assign, End, Ended, Frame, Hello, RunId, TaskId
from paddleshunt_core.leased.worker import Worker

RUN = RunId(TaskId("job", 0, 0), 1)


def working() -> Worker:
    """Return a worker that has just ordered `RUN`, at time 1.0."""
    worker = Worker(lease_times(Bounds()))
    account = RunnerAccount("i-1", "svc", "hall", Resources(8000, 8000), False, None)
    worker.runner_spoke(0.9, account)
    worker.looked(0.95, LookAnswer(0.92, [], []))
    worker.opened(1.0, Hello("e", "life", True, "hall", "", 1, 0), 1.0)
    assign = Assign("job", 0, "spec", Resources(1000, 10), 400, 300, 4000, [(0, 1)])
    effects = worker.heard(1.0, "e", Frame(1, 0, 1000, 1000, [assign]))
    assert [effect.run for effect in effects if isinstance(effect, StartRun)] == [RUN]
    return worker


def test_a_run_seen_at_work_before_its_starts_answer_goes_on() -> None:
    worker = working()
    worker.looked(1.01, LookAnswer(1.005, [RunningRun(RUN, 2)], []))
    effects = worker.start_answered(1.02, RUN, StartAnswer.STARTED)
    assert not [effect for effect in effects if isinstance(effect, StopRun)]


def test_a_doubtful_start_that_a_look_does_not_show_is_stopped() -> None:
    worker = working()
    assert worker.start_answered(1.08, RUN, StartAnswer.UNKNOWN) == []
    effects = worker.looked(1.2, LookAnswer(1.1, [], []))
    assert StopRun(RUN) in effects


def test_a_look_from_before_the_doubt_decides_nothing() -> None:
    worker = working()
    worker.start_answered(1.08, RUN, StartAnswer.UNKNOWN)
    effects = worker.looked(1.09, LookAnswer(1.0, [], []))
    assert StopRun(RUN) not in effects


def test_what_an_earlier_life_has_left_is_stopped_and_logged() -> None:
    worker = Worker(lease_times(Bounds()))
    effects = worker.looked(1.0, LookAnswer(0.9, [RunningRun(RUN, 30)], []))
    assert StopRun(RUN) in effects
    assert "foreign_run_stopping" in [getattr(effect, "event", "") for effect in effects]
    assert not worker.may_open("e")


def test_a_run_that_is_known_already_is_given_back() -> None:
    worker = working()
    worker.opened(1.0, Hello("e2", "life", True, "hall", "", 1, 0), 1.0)
    assign = Assign("job", 0, "spec", Resources(1000, 10), 400, 300, 4000, [(0, 1)])
    effects = worker.heard(1.01, "e2", Frame(1, 0, 1010, 1010, [assign]))
    assert not [effect for effect in effects if isinstance(effect, StartRun)]
    worker.prepare_frames(1.02)
    session = worker.session("e2")
    assert session is not None
    ends = [body for body in session.frame(1020).bodies if isinstance(body, Ended)]
    assert ends == [Ended([(RUN, End.NOT_STARTED)])]

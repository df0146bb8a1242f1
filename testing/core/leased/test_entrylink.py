"""A target's side of a session: held and idle sessions, and runs that wait for the lease."""

import pytest
from paddleshunt_core.leased.bounds import Bounds, lease_times
from paddleshunt_core.leased.entrylink import MAX_PENDING
from paddleshunt_core.leased.orders import (
    FinishedRun,
    PollAnswer,
    RunEnd,
    RunnerStatus,
    StartAnswer,
    StartRun,
)
from paddleshunt_core.leased.resources import Resources
from paddleshunt_core.leased.runnerincarnation import RunnerIncarnation
from paddleshunt_core.leased.wire import (
    Assign,
    End,
    Ended,
    Frame,
    Hello,
    RunId,
    RunnerReport,
    RunnerState,
    Stop,
    TaskId,
)
from paddleshunt_core.leased.worker import Worker

TIMES = lease_times(Bounds())
NEED = Resources(1000, 10)
RUN = RunId(TaskId("job", 0, 0), 1)
ASSIGN = Assign("job", 0, "spec", NEED, 400, 4000, [(0, 1)])


@pytest.fixture
def worker() -> Worker:
    """A worker in session with an entry since 1.0, with nothing left to send."""
    worker = Worker(TIMES)
    status = RunnerStatus(
        RunnerIncarnation("i-1"), "svc", "hall", Resources(8000, 8000), False, None
    )
    worker.heartbeat_received(0.9, status)
    worker.poll_answered(0.95, PollAnswer(0.92, [], []))
    worker.greeting_answered(1.0, Hello("e", "life", True, "hall", "", 1, 0), 1.0)
    worker.prepare_frames(1.0)
    worker.next_frame(1.0, "e", heartbeat_allowed=True)
    worker.frame_received(1.001, "e", Frame(1, 1, 1001, 1000, []))
    return worker


def started(effects: list[object]) -> list[RunId]:
    return [effect.run for effect in effects if isinstance(effect, StartRun)]


def frame(number: int, echo: float, *bodies: Assign | Stop) -> Frame:
    return Frame(number, 1, 0, round(echo * 1000), list(bodies))


def sent_bodies(worker: Worker, now: float) -> list[object]:
    worker.prepare_frames(now)
    sent = worker.next_frame(now, "e", heartbeat_allowed=False)
    return list(sent.bodies) if sent else []


def test_a_run_assigned_after_the_lease_expired_waits_for_a_later_echo(worker: Worker) -> None:
    assert started(worker.frame_received(2.0, "e", frame(1, 1.0, ASSIGN))) == []
    assert worker.next_frame(2.0, "e", heartbeat_allowed=False) is not None
    assert started(worker.frame_received(2.001, "e", frame(2, 1.0))) == []
    assert started(worker.frame_received(2.002, "e", frame(2, 2.0))) == [RUN]


@pytest.mark.parametrize(
    ("left", "starts"), [(0.01, False), (TIMES.heartbeat + 0.01, True)], ids=["short", "enough"]
)
def test_nothing_starts_under_a_lease_that_expires_before_the_next_heartbeat(
    left: float, worker: Worker, *, starts: bool
) -> None:
    now = 1.0 + TIMES.session - left
    assert (started(worker.frame_received(now, "e", frame(1, 1.0, ASSIGN))) == [RUN]) is starts
    assert worker.next_frame(now, "e", heartbeat_allowed=False) is not None or starts
    assert (started(worker.frame_received(now + 0.002, "e", frame(2, now))) == [RUN]) is not starts


def test_a_run_stopped_in_the_frame_that_confirms_the_lease_does_not_start(worker: Worker) -> None:
    worker.frame_received(2.0, "e", frame(1, 1.0, ASSIGN))
    assert started(worker.frame_received(2.04, "e", frame(2, 2.0, Stop([RUN])))) == []


def test_an_assignment_and_its_stop_resent_together_start_nothing(
    worker: Worker,
) -> None:
    """As after a connection broke before both arrived and the session was resumed."""
    assert started(worker.frame_received(2.0, "e", frame(1, 2.0, ASSIGN, Stop([RUN])))) == []


def test_runs_not_confirmed_in_time_end_as_not_started(worker: Worker) -> None:
    worker.frame_received(2.0, "e", frame(1, 1.0, ASSIGN))
    worker.tick(2.0 + TIMES.confirm_timeout - 0.01)
    assert not [body for body in sent_bodies(worker, 2.2) if isinstance(body, Ended)]
    worker.tick(2.0 + TIMES.confirm_timeout + 0.01)
    ends = [body for body in sent_bodies(worker, 2.3) if isinstance(body, Ended)]
    assert ends == [Ended([(RUN, End.NOT_STARTED)])]


def test_a_pause_longer_than_the_lease_leaves_nothing_to_start(worker: Worker) -> None:
    """The paused target did not read the entry's echo in time."""
    worker.frame_received(2.0, "e", frame(1, 1.0, ASSIGN))
    assert started(worker.frame_received(2.0 + TIMES.session + 0.01, "e", frame(2, 2.0))) == []


def test_the_number_of_pending_runs_is_bounded(worker: Worker) -> None:
    many = Assign("job", 0, "spec", NEED, 1, 4000, [(n, 1) for n in range(MAX_PENDING + 3)])
    worker.frame_received(2.0, "e", frame(1, 1.0, many))
    (ended,) = [body for body in sent_bodies(worker, 2.0) if isinstance(body, Ended)]
    assert len(ended.ends) == 3


def count_heartbeats(worker: Worker, since: float, seconds: float) -> int:
    """Return the number of heartbeats sent; each is answered without acknowledgement."""
    count = 0
    for tick in range(round(seconds / TIMES.heartbeat)):
        now = since + tick * TIMES.heartbeat
        sent = worker.next_frame(now, "e", heartbeat_allowed=True)
        if sent is not None:
            count += 1
            session = worker.session("e")
            assert session is not None
            worker.frame_received(now + 0.001, "e", frame(session.received + 1, now))
    return count


def test_heartbeats_are_frequent_only_while_the_session_is_held(worker: Worker) -> None:
    assert count_heartbeats(worker, 1.2, 4.0) <= 4.0 / TIMES.idle_heartbeat + 1
    worker.frame_received(5.2, "e", frame(1, 5.2, ASSIGN))
    worker.start_answered(5.201, RUN, StartAnswer.STARTED)
    assert count_heartbeats(worker, 5.3, 4.0) >= 4.0 / TIMES.heartbeat - 1


def test_a_session_is_held_until_the_entry_acknowledges_its_last_end(worker: Worker) -> None:
    worker.frame_received(1.1, "e", frame(1, 1.1, ASSIGN))
    worker.start_answered(1.101, RUN, StartAnswer.STARTED)
    assert worker.held_names() == {"e"}
    worker.poll_answered(1.2, PollAnswer(1.19, [], [FinishedRun(1, RUN, RunEnd.DONE)]))
    assert any(isinstance(body, Ended) for body in sent_bodies(worker, 1.2))
    assert worker.held_names() == {"e"}
    worker.frame_received(1.202, "e", Frame(2, 99, 0, 1200, []))
    assert worker.held_names() == set()


def test_an_idle_entry_gets_a_leaving_runners_report_at_once(worker: Worker) -> None:
    worker.frame_received(1.01, "e", frame(1, 1.0))
    worker.leave(1.02)
    reports = [body for body in sent_bodies(worker, 1.021) if isinstance(body, RunnerReport)]
    assert [report.state for report in reports] == [RunnerState.LEAVING]


def test_a_session_without_runs_outlives_its_lease(worker: Worker) -> None:
    worker.tick(1.0 + TIMES.idle_session - 0.01)
    assert worker.session("e") is not None
    worker.tick(1.01 + TIMES.idle_session)
    assert worker.session("e") is None


def test_the_runners_lease_is_renewed_only_while_something_runs(worker: Worker) -> None:
    assert worker.next_poll(1.1).until is None
    worker.frame_received(1.1, "e", frame(1, 1.1, ASSIGN))
    assert worker.next_poll(1.11).until is not None


def test_a_session_resumed_over_a_new_connection_is_no_longer_retired(worker: Worker) -> None:
    """While the connection was down, other entries were preferred."""
    sent_bodies(worker, 1.01)
    worker.retire(1.1, set())
    worker.greeting_answered(1.2, Hello("e", "life", True, "hall", "", 1, 0), 1.19)
    reports = [body for body in sent_bodies(worker, 1.5) if isinstance(body, RunnerReport)]
    assert [report.state for report in reports] == [RunnerState.READY]

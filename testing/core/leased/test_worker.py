"""Tests of the target's worker, one input at a time."""

import pytest
from paddleshunt_core.events import Log
from paddleshunt_core.leased.bounds import Bounds, lease_times
from paddleshunt_core.leased.entrylink import MIN_REPORT_INTERVAL
from paddleshunt_core.leased.offers import OFFER_SECONDS
from paddleshunt_core.leased.orders import (
    FinishedRun,
    PollAnswer,
    RunEnd,
    RunnerStatus,
    RunningRun,
    StartAnswer,
    StartRun,
    StopRun,
)
from paddleshunt_core.leased.resources import Resources
from paddleshunt_core.leased.runnerincarnation import RunnerIncarnation
from paddleshunt_core.leased.wire import (
    Assign,
    DeclineOffer,
    End,
    Ended,
    Frame,
    Hello,
    ResourceRequest,
    RunId,
    RunnerReport,
    RunnerState,
    TaskId,
)
from paddleshunt_core.leased.worker import Worker

RUN = RunId(TaskId("job", 0, 0), 1)


def worker_with_run() -> Worker:
    """Return a worker that has just ordered `RUN`, at time 1.0."""
    worker = Worker(lease_times(Bounds()))
    status = RunnerStatus(
        RunnerIncarnation("i-1"), "svc", "hall", Resources(8000, 8000), False, None
    )
    worker.heartbeat_received(0.9, status)
    worker.poll_answered(0.95, PollAnswer(0.92, [], []))
    worker.greeting_answered(1.0, Hello("e", "life", True, "hall", "", 1, 0), 1.0)
    assign = Assign("job", 0, "spec", Resources(1000, 10), 400, 4000, [(0, 1)])
    effects = worker.frame_received(1.0, "e", Frame(1, 0, 1000, 1000, [assign]))
    assert [effect.run for effect in effects if isinstance(effect, StartRun)] == [RUN]
    return worker


def assignment(number: int, at_ms: int, runs: int) -> Frame:
    """Return a frame that assigns runs of another job."""
    need = Resources(1000, 10)
    tasks = [(index, 1) for index in range(runs)]
    return Frame(
        number, 0, at_ms, at_ms, [Assign(f"job{number}", 0, "spec", need, 400, 4000, tasks)]
    )


def test_run_listed_before_its_start_is_answered_continues() -> None:
    worker = worker_with_run()
    worker.poll_answered(1.01, PollAnswer(1.005, [RunningRun(RUN, 2)], []))
    effects = worker.start_answered(1.02, RUN, StartAnswer.STARTED)
    assert not [effect for effect in effects if isinstance(effect, StopRun)]


def test_unanswered_start_that_a_poll_does_not_list_is_stopped() -> None:
    worker = worker_with_run()
    assert worker.start_answered(1.08, RUN, StartAnswer.UNKNOWN) == []
    effects = worker.poll_answered(1.2, PollAnswer(1.1, [], []))
    assert StopRun(RUN) in effects


def test_poll_sent_before_the_start_went_unanswered_decides_nothing() -> None:
    worker = worker_with_run()
    worker.start_answered(1.08, RUN, StartAnswer.UNKNOWN)
    effects = worker.poll_answered(1.09, PollAnswer(1.0, [], []))
    assert StopRun(RUN) not in effects


def test_run_left_by_an_earlier_process_is_stopped_and_logged() -> None:
    worker = Worker(lease_times(Bounds()))
    effects = worker.poll_answered(1.0, PollAnswer(0.9, [RunningRun(RUN, 30)], []))
    assert StopRun(RUN) in effects
    assert "foreign_run_stopping" in [getattr(effect, "event", "") for effect in effects]
    assert not worker.may_open("e")


def test_assigned_run_that_exists_already_is_returned() -> None:
    worker = worker_with_run()
    worker.greeting_answered(1.0, Hello("e2", "life", True, "hall", "", 1, 0), 1.0)
    assign = Assign("job", 0, "spec", Resources(1000, 10), 400, 4000, [(0, 1)])
    effects = worker.frame_received(1.01, "e2", Frame(1, 0, 1010, 1010, [assign]))
    assert not [effect for effect in effects if isinstance(effect, StartRun)]
    worker.prepare_frames(1.02)
    session = worker.session("e2")
    assert session is not None
    ends = [body for body in session.frame(1020).bodies if isinstance(body, Ended)]
    assert ends == [Ended([(RUN, End.NOT_STARTED)])]


def reports(worker: Worker, now: float, entry: str = "e") -> list[RunnerReport]:
    """Return the reports that are due for an entry at a time."""
    worker.prepare_frames(now)
    session = worker.session(entry)
    assert session is not None
    bodies = session.frame(int(now * 1000)).bodies
    return [body for body in bodies if isinstance(body, RunnerReport)]


def test_report_soon_after_another_is_delayed() -> None:
    worker = worker_with_run()
    assert len(reports(worker, 1.0)) == 1
    worker.frame_received(1.01, "e", assignment(2, 1010, 1))
    assert reports(worker, 1.01) == []
    due = worker.prepare_frames(1.01)
    assert due is not None
    assert len(reports(worker, due)) == 1


def test_end_is_reported_at_once() -> None:
    worker = worker_with_run()
    reports(worker, 1.0)
    worker.start_answered(1.005, RUN, StartAnswer.STARTED)
    done = FinishedRun(1, RUN, RunEnd.DONE)
    worker.poll_answered(1.01, PollAnswer(1.008, [], [done]))
    assert [report.free for report in reports(worker, 1.01)] == [Resources(8000, 8000)]


def test_changes_are_reported_sooner_when_little_is_free() -> None:
    times = lease_times(Bounds())
    worker = worker_with_run()
    reports(worker, 1.0)
    worker.frame_received(1.01, "e", assignment(2, 1010, 1))
    ample = worker.prepare_frames(1.01)
    worker.frame_received(1.02, "e", assignment(3, 1020, 5))
    little = worker.prepare_frames(1.02)
    assert (ample, little) == (
        1.0 + times.heartbeat,
        1.0 + MIN_REPORT_INTERVAL,
    )


def test_overloaded_link_delays_reports_to_heartbeats_but_not_ends() -> None:
    times = lease_times(Bounds())
    worker = worker_with_run()
    worker.network_overloaded = True
    reports(worker, 1.0)
    worker.frame_received(1.02, "e", assignment(2, 1020, 6))
    assert worker.prepare_frames(1.02) == 1.0 + times.heartbeat
    worker.start_answered(1.025, RUN, StartAnswer.STARTED)
    worker.poll_answered(1.03, PollAnswer(1.028, [], [FinishedRun(1, RUN, RunEnd.DONE)]))
    assert len(reports(worker, 1.03)) == 1


def test_session_with_an_entry_not_preferred_ends_after_its_runs() -> None:
    worker = worker_with_run()
    reports(worker, 1.0)
    worker.retire(1.1, {"other"})
    assert [report.state for report in reports(worker, 1.2)] == [RunnerState.LEAVING]
    worker.retire(1.4, {"other"})
    assert worker.session("e") is not None
    worker.start_answered(1.4, RUN, StartAnswer.STARTED)
    worker.poll_answered(1.42, PollAnswer(1.41, [], [FinishedRun(1, RUN, RunEnd.DONE)]))
    assert [report.state for report in reports(worker, 1.42)] == [RunnerState.LEAVING]
    worker.retire(1.43, {"other"})
    assert worker.session("e") is None


def test_entry_preferred_again_may_assign_again() -> None:
    worker = worker_with_run()
    reports(worker, 1.0)
    worker.retire(1.1, {"other"})
    reports(worker, 1.2)
    worker.retire(1.3, {"e"})
    assert [report.state for report in reports(worker, 1.4)] == [RunnerState.READY]


def test_polls_do_not_wait_before_the_first_heartbeat() -> None:
    worker = Worker(lease_times(Bounds()))
    worker.poll_answered(1.0, PollAnswer(0.9, [], []))
    assert worker.next_poll(1.1).wait == 0
    status = RunnerStatus(
        RunnerIncarnation("i-1"), "svc", "hall", Resources(8000, 8000), False, None
    )
    worker.heartbeat_received(1.2, status)
    worker.poll_answered(1.4, PollAnswer(1.3, [], []))
    assert worker.next_poll(1.5).wait > 0


def nearly_full_worker(entries: tuple[str, ...]) -> Worker:
    """Return a worker whose runner has 1,000 of 8,000 left, with sessions from time 1.0."""
    worker = Worker(lease_times(Bounds()))
    status = RunnerStatus(
        RunnerIncarnation("i-1"), "svc", "hall", Resources(8000, 8000), False, None
    )
    worker.heartbeat_received(0.9, status)
    worker.poll_answered(0.95, PollAnswer(0.92, [], []))
    for entry in entries:
        worker.greeting_answered(1.0, Hello(entry, "life", True, "hall", "", 1, 0), 1.0)
    assign = Assign("job", 0, "spec", Resources(1000, 10), 400, 4000, [(n, 1) for n in range(7)])
    worker.frame_received(1.0, entries[0], Frame(1, 0, 1000, 1000, [assign]))
    return worker


def reported_free(worker: Worker, entry: str, at: float) -> list[int]:
    """Return the free processor capacity in the reports sent to an entry now."""
    worker.prepare_frames(at)
    session = worker.session(entry)
    assert session is not None
    bodies = session.frame(int(at * 1000)).bodies
    return [body.free.processor for body in bodies if isinstance(body, RunnerReport)]


def test_scarce_capacity_is_offered_only_to_the_entry_with_the_most_urgent_task() -> None:
    worker = nearly_full_worker(("e0", "e1"))
    need = Resources(1000, 10)
    worker.frame_received(1.01, "e0", Frame(2, 0, 1010, 1010, [ResourceRequest(need, 300)]))
    worker.frame_received(1.01, "e1", Frame(1, 0, 1010, 1010, [ResourceRequest(need, 100)]))
    assert reported_free(worker, "e1", 1.011) == [1000]
    assert reported_free(worker, "e0", 1.012) == [0]


def test_capacity_left_unused_by_an_entry_is_offered_to_the_next() -> None:
    worker = nearly_full_worker(("e0", "e1"))
    need = Resources(1000, 10)
    worker.frame_received(1.01, "e0", Frame(2, 0, 1010, 1010, [ResourceRequest(need, 300)]))
    worker.frame_received(1.01, "e1", Frame(1, 0, 1010, 1010, [ResourceRequest(need, 100)]))
    reported_free(worker, "e1", 1.011)
    assert worker.prepare_frames(1.012) is not None
    assert reported_free(worker, "e0", 1.012 + OFFER_SECONDS)[-1] == 1000


def test_ample_capacity_is_offered_to_all() -> None:
    worker = worker_with_run()
    worker.greeting_answered(1.0, Hello("e1", "life", True, "hall", "", 1, 0), 1.0)
    worker.frame_received(
        1.01, "e1", Frame(1, 0, 1010, 1010, [ResourceRequest(Resources(1000, 10), 100)])
    )
    assert reported_free(worker, "e", 1.2) == [7000]
    assert reported_free(worker, "e1", 1.4) == [7000]


def test_declined_capacity_is_offered_to_the_next_at_once() -> None:
    worker = nearly_full_worker(("e0", "e1"))
    need = Resources(1000, 10)
    worker.frame_received(1.01, "e0", Frame(2, 0, 1010, 1010, [ResourceRequest(need, 300)]))
    worker.frame_received(1.01, "e1", Frame(1, 0, 1010, 1010, [ResourceRequest(need, 100)]))
    reported_free(worker, "e1", 1.011)
    worker.frame_received(1.012, "e1", Frame(2, 0, 1012, 1012, [DeclineOffer()]))
    assert reported_free(worker, "e0", 1.012)[-1] == 1000


def test_unchanged_report_is_not_sent_again() -> None:
    worker = nearly_full_worker(("e0", "e1"))
    assert reported_free(worker, "e1", 1.1) == [1000]
    assert reported_free(worker, "e1", 1.2) == []


def test_assignment_is_followed_by_a_report_even_if_nothing_starts() -> None:
    worker = nearly_full_worker(("e0", "e1"))
    reported_free(worker, "e1", 1.1)
    wide = Assign("wide", 0, "spec", Resources(5000, 10), 400, 4000, [(0, 1)])
    worker.frame_received(1.2, "e1", Frame(1, 0, 1200, 1200, [wide]))
    assert reported_free(worker, "e1", 1.2) == [1000]


def poll_without_progress(worker: Worker, runs: dict[RunId, int], until: float) -> list[object]:
    """Let polls show the same percents every 50 ms; return the effects."""
    effects: list[object] = []
    at = 1.05
    while at < until:
        rows = [RunningRun(run, percent) for run, percent in runs.items()]
        effects += worker.poll_answered(at, PollAnswer(at - 0.01, rows, []))
        at += 0.05
    return effects


def test_runs_are_stopped_soon_when_all_of_a_runner_stall() -> None:
    worker = nearly_full_worker(("e0",))
    runs = {RunId(TaskId("job", 0, n), 1): 10 for n in range(7)}
    for run in runs:
        worker.start_answered(1.01, run, StartAnswer.STARTED)
    effects = poll_without_progress(worker, runs, 1.3)
    assert {e.run for e in effects if isinstance(e, StopRun)} == set(runs)


def test_runner_with_one_progressing_run_is_not_hung() -> None:
    worker = nearly_full_worker(("e0",))
    runs = {RunId(TaskId("job", 0, n), 1): 10 for n in range(7)}
    for run in runs:
        worker.start_answered(1.01, run, StartAnswer.STARTED)
    effects: list[object] = []
    for step in range(5):
        at = 1.05 + 0.05 * step
        rows = [RunningRun(run, 10 + (step if i == 0 else 0)) for i, run in enumerate(runs)]
        effects += worker.poll_answered(at, PollAnswer(at - 0.01, rows, []))
    assert not [e for e in effects if isinstance(e, StopRun)]


def test_poll_does_not_wait_while_a_start_is_unanswered() -> None:
    worker = worker_with_run()
    assert worker.next_poll(1.05).wait > 0
    worker.start_answered(1.06, RUN, StartAnswer.UNKNOWN)
    assert worker.next_poll(1.07).wait == 0


def two_runs_at_half() -> Worker:
    """Return a worker with two running runs that consecutive polls show half done at 1.2."""
    worker = worker_with_run()
    worker.frame_received(1.0, "e", assignment(2, 1000, 1))
    second = RunId(TaskId("job2", 0, 0), 1)
    for run in (RUN, second):
        worker.start_answered(1.001, run, StartAnswer.STARTED)
    for at in (1.2, 1.202, 1.204, 1.206):
        worker.next_poll(at)
        worker.poll_answered(at, PollAnswer(at, [RunningRun(RUN, 50), RunningRun(second, 50)], []))
    return worker


def test_answer_read_late_does_not_count_as_a_hung_runner() -> None:
    worker = two_runs_at_half()
    second = RunId(TaskId("job2", 0, 0), 1)
    worker.next_poll(1.208)
    # This process was paused, so the answer is outdated.
    old = PollAnswer(1.208, [RunningRun(RUN, 50), RunningRun(second, 50)], [])
    effects = worker.poll_answered(1.6, old)
    assert not [effect for effect in effects if isinstance(effect, StopRun)]
    worker.next_poll(1.6)
    fresh = PollAnswer(1.6, [RunningRun(RUN, 50), RunningRun(second, 50)], [])
    effects = worker.poll_answered(1.601, fresh)
    assert len([effect for effect in effects if isinstance(effect, StopRun)]) == 2


def test_short_pause_before_a_long_poll_is_read_does_not_count_as_a_hung_runner() -> None:
    """With wide bounds a poll may wait longer than it takes a runner to count as hung."""
    worker = Worker(lease_times(Bounds(resend=4.0, hold_max=2.0, stop=0.2)))
    status = RunnerStatus(
        RunnerIncarnation("i-1"), "svc", "hall", Resources(8000, 8000), False, None
    )
    worker.heartbeat_received(0.9, status)
    worker.poll_answered(0.95, PollAnswer(0.92, [], []))
    worker.greeting_answered(1.0, Hello("e", "life", True, "hall", "", 1, 0), 1.0)
    assign = Assign("job", 0, "spec", Resources(1000, 10), 3200, 9000, [(0, 1), (1, 1)])
    worker.frame_received(1.0, "e", Frame(1, 0, 1000, 1000, [assign]))
    runs = [RunId(TaskId("job", 0, index), 1) for index in (0, 1)]
    for run in runs:
        worker.start_answered(1.001, run, StartAnswer.STARTED)
    for at in (1.2, 1.202, 1.204, 1.206):
        worker.next_poll(at)
        worker.poll_answered(at, PollAnswer(at, [RunningRun(run, 50) for run in runs], []))
    worker.next_poll(1.208)
    # The runner answered at once; this process was paused for 0.13 s before it read the answer.
    old = PollAnswer(1.208, [RunningRun(run, 50) for run in runs], [])
    effects = worker.poll_answered(1.338, old)
    assert not [effect for effect in effects if isinstance(effect, StopRun)]


@pytest.mark.parametrize("confirmed_by", ["answer", "poll"])
def test_pause_before_a_start_is_known_does_not_count_as_a_hung_runner(confirmed_by: str) -> None:
    """Orders decided at 1.0 were executed, or their answers read, only after the pause."""
    worker = worker_with_run()
    second = RunId(TaskId("more", 0, 0), 1)
    more = Assign("more", 0, "spec", Resources(1000, 10), 400, 4000, [(0, 1)])
    worker.frame_received(1.001, "e", Frame(2, 0, 1001, 1001, [more]))
    if confirmed_by == "answer":
        for run in (RUN, second):
            worker.start_answered(1.27, run, StartAnswer.STARTED)
    stopped: list[object] = []
    for at in (1.272, 1.284, 1.296, 1.308):
        worker.next_poll(at)
        answer = PollAnswer(at, [RunningRun(RUN, 0), RunningRun(second, 0)], [])
        stopped += [e for e in worker.poll_answered(at + 0.001, answer) if isinstance(e, StopRun)]
    assert stopped == []


def test_session_that_ended_after_the_greeting_is_not_resumed() -> None:
    """The entry was paused with the greeting unread, so for it the session still exists."""
    worker = worker_with_run()
    worker.start_answered(1.01, RUN, StartAnswer.STARTED)
    worker.tick(1.0 + lease_times(Bounds()).session + 0.01)
    assert worker.session("e") is None
    worker.poll_answered(1.6, PollAnswer(1.5, [], [FinishedRun(1, RUN, RunEnd.STOPPED)]))
    worker.greeting_answered(1.7, Hello("e", "life", True, "hall", "", 1, 0), 1.45)
    assert worker.session("e") is None
    worker.greeting_answered(1.8, Hello("e", "life", True, "hall", "", 2, 0), 1.75)
    assert worker.session("e") is not None


def test_run_missing_from_a_partial_answer_is_not_gone() -> None:
    """The unreadable row may be that of the run or of its end."""
    worker = worker_with_run()
    worker.start_answered(1.01, RUN, StartAnswer.STARTED)
    worker.poll_answered(1.2, PollAnswer(1.1, [], [], partial=True))
    assert worker.runs == 1
    worker.poll_answered(1.4, PollAnswer(1.3, [], []))
    assert worker.runs == 0


def test_partial_answer_does_not_decide_on_an_unanswered_start() -> None:
    worker = worker_with_run()
    worker.start_answered(1.08, RUN, StartAnswer.UNKNOWN)
    assert StopRun(RUN) not in worker.poll_answered(1.2, PollAnswer(1.1, [], [], partial=True))
    assert StopRun(RUN) in worker.poll_answered(1.4, PollAnswer(1.3, [], []))


@pytest.mark.parametrize("unread_end", ["before", "while-stopping"])
def test_run_whose_end_may_be_unreadable_is_not_reported_as_not_started(unread_end: str) -> None:
    worker = worker_with_run()
    worker.start_answered(1.08, RUN, StartAnswer.UNKNOWN)
    if unread_end == "while-stopping":
        assert StopRun(RUN) in worker.poll_answered(1.12, PollAnswer(1.11, [], []))
    worker.poll_answered(1.16, PollAnswer(1.15, [], [], partial=True, listed=4, unread_end=True))
    worker.poll_answered(1.21, PollAnswer(1.2, [], []))
    worker.stop_answered(1.3, RUN, done=True)
    effects = worker.poll_answered(1.5, PollAnswer(1.4, [], []))
    ends = [e.fields["end"] for e in effects if isinstance(e, Log) and e.event == "run_ended"]
    assert ends == ["lost"]
    assert worker.next_poll(1.6).last_seen == 4


def test_partial_answer_does_not_rule_out_foreign_runs() -> None:
    worker = Worker(lease_times(Bounds()))
    status = RunnerStatus(
        RunnerIncarnation("i-1"), "svc", "hall", Resources(8000, 8000), False, None
    )
    worker.heartbeat_received(0.9, status)
    worker.poll_answered(1.0, PollAnswer(0.95, [], [], partial=True))
    assert worker.next_poll(1.1).wait == 0
    worker.poll_answered(1.2, PollAnswer(1.1, [], []))
    assert worker.next_poll(1.3).wait > 0


def test_end_of_a_foreign_run_is_acknowledged() -> None:
    worker = worker_with_run()
    worker.poll_answered(1.2, PollAnswer(1.1, [RunningRun(RUN, 2)], [], listed=7))
    assert worker.next_poll(1.3).last_seen == 7

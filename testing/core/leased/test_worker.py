"""The target's worker, step by step."""

import pytest
from paddleshunt_core.events import Log
from paddleshunt_core.leased.bounds import Bounds, lease_times
from paddleshunt_core.leased.entrylink import REPORT_SECONDS
from paddleshunt_core.leased.offers import OFFER_SECONDS
from paddleshunt_core.leased.orders import (
    FinishedRun,
    LookAnswer,
    RunEnd,
    RunnerAccount,
    RunningRun,
    StartAnswer,
    StartRun,
    StopRun,
)
from paddleshunt_core.leased.resources import Resources
from paddleshunt_core.leased.runnerlife import RunnerLife
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


def working() -> Worker:
    """Return a worker that has just ordered `RUN`, at time 1.0."""
    worker = Worker(lease_times(Bounds()))
    account = RunnerAccount(RunnerLife("i-1"), "svc", "hall", Resources(8000, 8000), False, None)
    worker.runner_spoke(0.9, account)
    worker.looked(0.95, LookAnswer(0.92, [], []))
    worker.opened(1.0, Hello("e", "life", True, "hall", "", 1, 0), 1.0)
    assign = Assign("job", 0, "spec", Resources(1000, 10), 400, 4000, [(0, 1)])
    effects = worker.heard(1.0, "e", Frame(1, 0, 1000, 1000, [assign]))
    assert [effect.run for effect in effects if isinstance(effect, StartRun)] == [RUN]
    return worker


def assignment(number: int, at_ms: int, runs: int) -> Frame:
    """Return the frame that brings runs of another job."""
    need = Resources(1000, 10)
    tasks = [(index, 1) for index in range(runs)]
    return Frame(
        number, 0, at_ms, at_ms, [Assign(f"job{number}", 0, "spec", need, 400, 4000, tasks)]
    )


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
    assign = Assign("job", 0, "spec", Resources(1000, 10), 400, 4000, [(0, 1)])
    effects = worker.heard(1.01, "e2", Frame(1, 0, 1010, 1010, [assign]))
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


def test_a_report_soon_after_another_waits() -> None:
    worker = working()
    assert len(reports(worker, 1.0)) == 1
    worker.heard(1.01, "e", assignment(2, 1010, 1))
    assert reports(worker, 1.01) == []
    due = worker.prepare_frames(1.01)
    assert due is not None
    assert len(reports(worker, due)) == 1


def test_an_end_brings_a_report_at_once() -> None:
    worker = working()
    reports(worker, 1.0)
    worker.start_answered(1.005, RUN, StartAnswer.STARTED)
    done = FinishedRun(1, RUN, RunEnd.DONE)
    worker.looked(1.01, LookAnswer(1.008, [], [done]))
    assert [report.free for report in reports(worker, 1.01)] == [Resources(8000, 8000)]


def test_without_plenty_of_room_changes_are_told_sooner() -> None:
    times = lease_times(Bounds())
    worker = working()
    reports(worker, 1.0)
    worker.heard(1.01, "e", assignment(2, 1010, 1))
    calm = worker.prepare_frames(1.01)
    worker.heard(1.02, "e", assignment(3, 1020, 5))
    full = worker.prepare_frames(1.02)
    assert (calm, full) == (1.0 + times.heartbeat, 1.0 + REPORT_SECONDS)


def test_at_a_pressed_link_reports_go_with_heartbeats_and_ends_at_once() -> None:
    times = lease_times(Bounds())
    worker = working()
    worker.sheds = True
    reports(worker, 1.0)
    worker.heard(1.02, "e", assignment(2, 1020, 6))
    assert worker.prepare_frames(1.02) == 1.0 + times.heartbeat
    worker.start_answered(1.025, RUN, StartAnswer.STARTED)
    worker.looked(1.03, LookAnswer(1.028, [], [FinishedRun(1, RUN, RunEnd.DONE)]))
    assert len(reports(worker, 1.03)) == 1


def test_a_session_with_an_entry_that_is_not_preferred_ends_once_its_runs_have() -> None:
    worker = working()
    reports(worker, 1.0)
    worker.retire(1.1, {"other"})
    assert [report.state for report in reports(worker, 1.2)] == [RunnerState.LEAVING]
    worker.retire(1.4, {"other"})
    assert worker.session("e") is not None
    worker.start_answered(1.4, RUN, StartAnswer.STARTED)
    worker.looked(1.42, LookAnswer(1.41, [], [FinishedRun(1, RUN, RunEnd.DONE)]))
    assert [report.state for report in reports(worker, 1.42)] == [RunnerState.LEAVING]
    worker.retire(1.43, {"other"})
    assert worker.session("e") is None


def test_an_entry_that_is_preferred_again_gets_work_again() -> None:
    worker = working()
    reports(worker, 1.0)
    worker.retire(1.1, {"other"})
    reports(worker, 1.2)
    worker.retire(1.3, {"e"})
    assert [report.state for report in reports(worker, 1.4)] == [RunnerState.READY]


def test_no_look_waits_before_the_runner_has_given_its_account() -> None:
    worker = Worker(lease_times(Bounds()))
    worker.looked(1.0, LookAnswer(0.9, [], []))
    assert worker.next_look(1.1).wait == 0
    account = RunnerAccount(RunnerLife("i-1"), "svc", "hall", Resources(8000, 8000), False, None)
    worker.runner_spoke(1.2, account)
    worker.looked(1.4, LookAnswer(1.3, [], []))
    assert worker.next_look(1.5).wait > 0


def full_worker(entries: tuple[str, ...]) -> Worker:
    """Return a worker whose runner has 1,000 of 8,000 left, with sessions from time 1.0."""
    worker = Worker(lease_times(Bounds()))
    account = RunnerAccount(RunnerLife("i-1"), "svc", "hall", Resources(8000, 8000), False, None)
    worker.runner_spoke(0.9, account)
    worker.looked(0.95, LookAnswer(0.92, [], []))
    for entry in entries:
        worker.opened(1.0, Hello(entry, "life", True, "hall", "", 1, 0), 1.0)
    assign = Assign("job", 0, "spec", Resources(1000, 10), 400, 4000, [(n, 1) for n in range(7)])
    worker.heard(1.0, entries[0], Frame(1, 0, 1000, 1000, [assign]))
    return worker


def shown(worker: Worker, entry: str, at: float) -> list[int]:
    """Return the free processor of the reports that an entry is sent now."""
    worker.prepare_frames(at)
    session = worker.session(entry)
    assert session is not None
    bodies = session.frame(int(at * 1000)).bodies
    return [body.free.processor for body in bodies if isinstance(body, RunnerReport)]


def test_scarce_room_is_shown_to_the_entry_with_the_most_urgent_task_alone() -> None:
    worker = full_worker(("e0", "e1"))
    need = Resources(1000, 10)
    worker.heard(1.01, "e0", Frame(2, 0, 1010, 1010, [ResourceRequest(need, 300)]))
    worker.heard(1.01, "e1", Frame(1, 0, 1010, 1010, [ResourceRequest(need, 100)]))
    assert shown(worker, "e1", 1.011) == [1000]
    assert shown(worker, "e0", 1.012) == [0]


def test_room_that_an_entry_leaves_unused_is_shown_to_the_next() -> None:
    worker = full_worker(("e0", "e1"))
    need = Resources(1000, 10)
    worker.heard(1.01, "e0", Frame(2, 0, 1010, 1010, [ResourceRequest(need, 300)]))
    worker.heard(1.01, "e1", Frame(1, 0, 1010, 1010, [ResourceRequest(need, 100)]))
    shown(worker, "e1", 1.011)
    assert worker.prepare_frames(1.012) is not None
    assert shown(worker, "e0", 1.012 + OFFER_SECONDS)[-1] == 1000


def test_plenty_of_room_is_shown_to_all() -> None:
    worker = working()
    worker.opened(1.0, Hello("e1", "life", True, "hall", "", 1, 0), 1.0)
    worker.heard(1.01, "e1", Frame(1, 0, 1010, 1010, [ResourceRequest(Resources(1000, 10), 100)]))
    assert shown(worker, "e", 1.2) == [7000]
    assert shown(worker, "e1", 1.4) == [7000]


def test_room_that_an_entry_declines_is_shown_to_the_next_at_once() -> None:
    worker = full_worker(("e0", "e1"))
    need = Resources(1000, 10)
    worker.heard(1.01, "e0", Frame(2, 0, 1010, 1010, [ResourceRequest(need, 300)]))
    worker.heard(1.01, "e1", Frame(1, 0, 1010, 1010, [ResourceRequest(need, 100)]))
    shown(worker, "e1", 1.011)
    worker.heard(1.012, "e1", Frame(2, 0, 1012, 1012, [DeclineOffer()]))
    assert shown(worker, "e0", 1.012)[-1] == 1000


def test_an_entry_is_sent_no_report_that_says_nothing_new() -> None:
    worker = full_worker(("e0", "e1"))
    assert shown(worker, "e1", 1.1) == [1000]
    assert shown(worker, "e1", 1.2) == []


def test_an_assignment_is_followed_by_a_report_even_if_it_came_to_nothing() -> None:
    worker = full_worker(("e0", "e1"))
    shown(worker, "e1", 1.1)
    wide = Assign("wide", 0, "spec", Resources(5000, 10), 400, 4000, [(0, 1)])
    worker.heard(1.2, "e1", Frame(1, 0, 1200, 1200, [wide]))
    assert shown(worker, "e1", 1.2) == [1000]


def hold_looks(worker: Worker, runs: dict[RunId, int], until: float) -> list[object]:
    """Show the worker the same percents every 50 ms; return what it does."""
    effects: list[object] = []
    at = 1.05
    while at < until:
        rows = [RunningRun(run, percent) for run, percent in runs.items()]
        effects += worker.looked(at, LookAnswer(at - 0.01, rows, []))
        at += 0.05
    return effects


def test_a_runner_on_which_all_runs_stand_still_is_left_soon() -> None:
    worker = full_worker(("e0",))
    runs = {RunId(TaskId("job", 0, n), 1): 10 for n in range(7)}
    for run in runs:
        worker.start_answered(1.01, run, StartAnswer.STARTED)
    effects = hold_looks(worker, runs, 1.3)
    assert {e.run for e in effects if isinstance(e, StopRun)} == set(runs)


def test_one_run_that_moves_shows_that_the_runner_does_not_hang() -> None:
    worker = full_worker(("e0",))
    runs = {RunId(TaskId("job", 0, n), 1): 10 for n in range(7)}
    for run in runs:
        worker.start_answered(1.01, run, StartAnswer.STARTED)
    effects: list[object] = []
    for step in range(5):
        at = 1.05 + 0.05 * step
        rows = [RunningRun(run, 10 + (step if i == 0 else 0)) for i, run in enumerate(runs)]
        effects += worker.looked(at, LookAnswer(at - 0.01, rows, []))
    assert not [e for e in effects if isinstance(e, StopRun)]


def test_a_look_does_not_wait_while_it_is_to_settle_a_doubtful_start() -> None:
    worker = working()
    assert worker.next_look(1.05).wait > 0
    worker.start_answered(1.06, RUN, StartAnswer.UNKNOWN)
    assert worker.next_look(1.07).wait == 0


def two_runs_at_half() -> Worker:
    """Return a worker with two runs at work, half done at 1.2 as looks in a row show."""
    worker = working()
    worker.heard(1.0, "e", assignment(2, 1000, 1))
    second = RunId(TaskId("job2", 0, 0), 1)
    for run in (RUN, second):
        worker.start_answered(1.001, run, StartAnswer.STARTED)
    for at in (1.2, 1.202, 1.204, 1.206):
        worker.next_look(at)
        worker.looked(at, LookAnswer(at, [RunningRun(RUN, 50), RunningRun(second, 50)], []))
    return worker


def test_an_answer_that_was_read_late_does_not_show_that_the_runner_stands_still() -> None:
    worker = two_runs_at_half()
    second = RunId(TaskId("job2", 0, 0), 1)
    worker.next_look(1.208)
    # This process stood still: what the answer shows is from before.
    old = LookAnswer(1.208, [RunningRun(RUN, 50), RunningRun(second, 50)], [])
    effects = worker.looked(1.6, old)
    assert not [effect for effect in effects if isinstance(effect, StopRun)]
    worker.next_look(1.6)
    fresh = LookAnswer(1.6, [RunningRun(RUN, 50), RunningRun(second, 50)], [])
    effects = worker.looked(1.601, fresh)
    assert len([effect for effect in effects if isinstance(effect, StopRun)]) == 2


def test_a_short_stand_still_before_a_long_look_is_read_is_not_the_runners() -> None:
    """Under wide bounds a look may wait longer than a runner takes to count as hung."""
    worker = Worker(lease_times(Bounds(resend=4.0, hold_max=2.0, stop=0.2)))
    account = RunnerAccount(RunnerLife("i-1"), "svc", "hall", Resources(8000, 8000), False, None)
    worker.runner_spoke(0.9, account)
    worker.looked(0.95, LookAnswer(0.92, [], []))
    worker.opened(1.0, Hello("e", "life", True, "hall", "", 1, 0), 1.0)
    assign = Assign("job", 0, "spec", Resources(1000, 10), 3200, 9000, [(0, 1), (1, 1)])
    worker.heard(1.0, "e", Frame(1, 0, 1000, 1000, [assign]))
    runs = [RunId(TaskId("job", 0, index), 1) for index in (0, 1)]
    for run in runs:
        worker.start_answered(1.001, run, StartAnswer.STARTED)
    for at in (1.2, 1.202, 1.204, 1.206):
        worker.next_look(at)
        worker.looked(at, LookAnswer(at, [RunningRun(run, 50) for run in runs], []))
    worker.next_look(1.208)
    # The runner answered at once; this process stood still for 0.13 s before it read that.
    old = LookAnswer(1.208, [RunningRun(run, 50) for run in runs], [])
    effects = worker.looked(1.338, old)
    assert not [effect for effect in effects if isinstance(effect, StopRun)]


@pytest.mark.parametrize("seen_by", ["answer", "look"])
def test_a_stand_still_before_a_start_is_known_is_not_the_runners(seen_by: str) -> None:
    """The orders were decided at 1.0; they were carried out, or heard of, as the process woke."""
    worker = working()
    second = RunId(TaskId("more", 0, 0), 1)
    more = Assign("more", 0, "spec", Resources(1000, 10), 400, 4000, [(0, 1)])
    worker.heard(1.001, "e", Frame(2, 0, 1001, 1001, [more]))
    if seen_by == "answer":
        for run in (RUN, second):
            worker.start_answered(1.27, run, StartAnswer.STARTED)
    stopped: list[object] = []
    for at in (1.272, 1.284, 1.296, 1.308):
        worker.next_look(at)
        look = LookAnswer(at, [RunningRun(RUN, 0), RunningRun(second, 0)], [])
        stopped += [e for e in worker.looked(at + 0.001, look) if isinstance(e, StopRun)]
    assert stopped == []


def test_a_session_that_ended_after_it_was_named_in_a_greeting_is_not_gone_on_with() -> None:
    """The entry stood still with the greeting unread; to it, the session goes on."""
    worker = working()
    worker.start_answered(1.01, RUN, StartAnswer.STARTED)
    worker.tick(1.0 + lease_times(Bounds()).session + 0.01)
    assert worker.session("e") is None
    worker.looked(1.6, LookAnswer(1.5, [], [FinishedRun(1, RUN, RunEnd.STOPPED)]))
    worker.opened(1.7, Hello("e", "life", True, "hall", "", 1, 0), 1.45)
    assert worker.session("e") is None
    worker.opened(1.8, Hello("e", "life", True, "hall", "", 2, 0), 1.75)
    assert worker.session("e") is not None


def test_a_run_that_a_partial_answer_does_not_show_is_not_gone() -> None:
    """The row that could not be read may be the run's, or its end's."""
    worker = working()
    worker.start_answered(1.01, RUN, StartAnswer.STARTED)
    worker.looked(1.2, LookAnswer(1.1, [], [], partial=True))
    assert worker.runs == 1
    worker.looked(1.4, LookAnswer(1.3, [], []))
    assert worker.runs == 0


def test_a_doubtful_start_is_not_judged_by_a_partial_answer() -> None:
    worker = working()
    worker.start_answered(1.08, RUN, StartAnswer.UNKNOWN)
    assert StopRun(RUN) not in worker.looked(1.2, LookAnswer(1.1, [], [], partial=True))
    assert StopRun(RUN) in worker.looked(1.4, LookAnswer(1.3, [], []))


@pytest.mark.parametrize("told", ["before", "while-stopping"])
def test_a_run_whose_end_may_have_been_unread_is_not_said_to_have_never_run(told: str) -> None:
    worker = working()
    worker.start_answered(1.08, RUN, StartAnswer.UNKNOWN)
    if told == "while-stopping":
        assert StopRun(RUN) in worker.looked(1.12, LookAnswer(1.11, [], []))
    worker.looked(1.16, LookAnswer(1.15, [], [], partial=True, listed=4, unread_end=True))
    worker.looked(1.21, LookAnswer(1.2, [], []))
    worker.stop_answered(1.3, RUN, done=True)
    effects = worker.looked(1.5, LookAnswer(1.4, [], []))
    ends = [e.fields["end"] for e in effects if isinstance(e, Log) and e.event == "run_ended"]
    assert ends == ["lost"]
    assert worker.next_look(1.6).last_seen == 4


def test_a_partial_answer_does_not_show_that_nothing_foreign_runs() -> None:
    worker = Worker(lease_times(Bounds()))
    account = RunnerAccount(RunnerLife("i-1"), "svc", "hall", Resources(8000, 8000), False, None)
    worker.runner_spoke(0.9, account)
    worker.looked(1.0, LookAnswer(0.95, [], [], partial=True))
    assert worker.next_look(1.1).wait == 0
    worker.looked(1.2, LookAnswer(1.1, [], []))
    assert worker.next_look(1.3).wait > 0


def test_an_end_that_is_none_of_ours_is_taken_note_of() -> None:
    worker = working()
    worker.looked(1.2, LookAnswer(1.1, [RunningRun(RUN, 2)], [], listed=7))
    assert worker.next_look(1.3).last_seen == 7

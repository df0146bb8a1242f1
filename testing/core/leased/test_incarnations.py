"""Tests of which incarnation of a runner a heartbeat belongs to."""

from dataclasses import replace

import pytest
from paddleshunt_core.leased.bounds import Bounds, lease_times
from paddleshunt_core.leased.incarnations import MAX_SEQUENCE_GAP, HeartbeatClass, Incarnations
from paddleshunt_core.leased.orders import PollAnswer, RunnerStatus
from paddleshunt_core.leased.resources import Resources
from paddleshunt_core.leased.runnercontrol import RunnerControl
from paddleshunt_core.leased.runnerincarnation import RunnerIncarnation
from paddleshunt_core.leased.wire import RunnerState

CAPACITY = Resources(8000, 8000)
FIRST = RunnerStatus(RunnerIncarnation("i-1"), "svc", "hall", CAPACITY, False, None, sequence=5)
NEXT = replace(FIRST, runner=RunnerIncarnation("i-2"), sequence=1)


@pytest.mark.parametrize(
    ("status", "expected"),
    [
        (replace(FIRST, sequence=6), HeartbeatClass.CURRENT),
        (replace(FIRST, sequence=0), HeartbeatClass.CURRENT),
        (replace(FIRST, sequence=5), HeartbeatClass.LATE),
        (replace(FIRST, sequence=4), HeartbeatClass.LATE),
        (NEXT, HeartbeatClass.UNCONFIRMED),
    ],
    ids=["later", "not_numbered", "same", "earlier", "other_incarnation"],
)
def test_classification_of_heartbeats_while_an_incarnation_is_current(
    status: RunnerStatus, expected: HeartbeatClass
) -> None:
    incarnations = Incarnations()
    assert incarnations.classify(FIRST) is HeartbeatClass.NEW
    incarnations.accept(FIRST)
    assert incarnations.classify(status) is expected


def accepted_sequences(*sequences: int) -> list[int]:
    """Return the sequence numbers that are accepted after heartbeat 5."""
    control = RunnerControl(lease_times(Bounds()))
    control.heartbeat_received(1.0, FIRST)
    accepted: list[int] = []
    for at, sequence in enumerate(sequences):
        status = replace(FIRST, sequence=sequence)
        control.heartbeat_received(2.0 + at, status)
        if control.status is status:
            accepted.append(sequence)
    return accepted


@pytest.mark.parametrize(
    ("sequences", "accepted"),
    [
        ([2**53, 6, 7], [6, 7]),
        ([2**53, 6, 2**53, 7], [6, 7]),
        ([2**53, 2**53, 6], [6]),
        ([9000, 9001, 9002, 9000, 6], [9001, 9002]),
        ([9000, 8999, 9000, 9001], [9001]),
        ([9000, 20_000, 30_000, 40_000], [20_000, 40_000]),
        ([5 + MAX_SEQUENCE_GAP, 6], [5 + MAX_SEQUENCE_GAP]),
        ([9000, 5, 9001], [9001]),
    ],
    ids=["one", "two", "same", "goes-on", "goes-back", "wide-steps", "near", "late-between"],
)
def test_sequence_far_ahead_is_accepted_once_the_next_continues_from_it(
    sequences: list[int], accepted: list[int]
) -> None:
    assert accepted_sequences(*sequences) == accepted


@pytest.mark.parametrize("ended_by", ["replaced", "deregistered", "denied"])
def test_ended_incarnation_is_never_accepted_again(ended_by: str) -> None:
    incarnations = Incarnations()
    incarnations.accept(FIRST)
    if ended_by == "replaced":
        incarnations.accept(NEXT)
    elif ended_by == "deregistered":
        incarnations.end_current()
    else:
        incarnations.mark_ended(FIRST.runner)
    assert incarnations.classify(replace(FIRST, sequence=9)) is HeartbeatClass.LATE


def test_denied_incarnation_is_late_until_the_current_one_has_ended() -> None:
    """It may register while the current one drains, whose end is detected by polls."""
    incarnations = Incarnations()
    incarnations.accept(FIRST)
    incarnations.deny(NEXT.runner)
    assert incarnations.classify(replace(NEXT, sequence=2)) is HeartbeatClass.LATE
    incarnations.end_current()
    assert incarnations.classify(replace(NEXT, sequence=3)) is HeartbeatClass.NEW
    assert incarnations.classify(replace(FIRST, sequence=9)) is HeartbeatClass.LATE


@pytest.mark.parametrize(
    ("answered", "expected"),
    [(False, HeartbeatClass.NEW), (True, HeartbeatClass.LATE)],
    ids=["never", "answered"],
)
def test_incarnation_that_never_answered_may_start_later(
    *, answered: bool, expected: HeartbeatClass
) -> None:
    """It registered before it had its address, so the poll reached the previous incarnation."""
    control = RunnerControl(lease_times(Bounds()))
    control.heartbeat_received(1.0, FIRST)
    if answered:
        control.poll_answered(1.1, PollAnswer(1.05, [], []))
    control.poll_failed(1.2, other_incarnation=True)
    assert control.incarnations.classify(replace(FIRST, sequence=6)) is expected


def control_of_second_incarnation() -> RunnerControl:
    """Return the control of a runner in its second incarnation."""
    control = RunnerControl(lease_times(Bounds()))
    control.heartbeat_received(1.0, FIRST)
    control.heartbeat_received(2.0, NEXT)
    return control


@pytest.mark.parametrize(
    "late",
    [
        FIRST,
        replace(FIRST, leaving=True, sequence=6),
        replace(NEXT, leaving=True, sequence=1),
        replace(NEXT, capacity=Resources(1, 1), sequence=1),
    ],
    ids=[
        "earlier_incarnation",
        "earlier_incarnation_leaving",
        "earlier_leaving",
        "earlier_capacity",
    ],
)
def test_late_heartbeat_changes_nothing(late: RunnerStatus) -> None:
    control = control_of_second_incarnation()
    control.heartbeat_received(3.0, late)
    assert control.status == NEXT
    assert control.state() is RunnerState.READY


def test_late_deregistration_of_an_earlier_incarnation_changes_nothing() -> None:
    control = control_of_second_incarnation()
    assert control.runner_deregistered(3.0, FIRST.runner) == []
    assert control.status == NEXT


def status_born_at(start: int, sequence: int = 1) -> RunnerStatus:
    """Return a status with the id of `FIRST` and this start time."""
    return replace(FIRST, runner=RunnerIncarnation(FIRST.runner.id, start), sequence=sequence)


def control_of_known_runner(start: int) -> RunnerControl:
    """Return the control of a runner that has sent heartbeat 9 and answered a poll."""
    control = RunnerControl(lease_times(Bounds()))
    control.heartbeat_received(1.0, status_born_at(start, 9))
    control.poll_answered(1.1, PollAnswer(1.05, [], [], born=start))
    return control


@pytest.mark.parametrize("start", [6000, 4000], ids=["later", "clock_set_back"])
def test_other_incarnation_with_the_same_id_is_unconfirmed(start: int) -> None:
    assert (
        control_of_known_runner(5000).incarnations.classify(status_born_at(start))
        is HeartbeatClass.UNCONFIRMED
    )


def test_heartbeat_without_a_start_time_is_matched_by_its_id() -> None:
    assert (
        control_of_known_runner(5000).incarnations.classify(replace(FIRST, sequence=9))
        is HeartbeatClass.LATE
    )
    assert (
        control_of_known_runner(5000).incarnations.classify(replace(FIRST, sequence=10))
        is HeartbeatClass.CURRENT
    )


@pytest.mark.parametrize("start", [6000, 4000], ids=["later", "clock_set_back"])
def test_poll_answer_decides_which_incarnation_of_an_id_is_current(start: int) -> None:
    control = control_of_known_runner(5000)
    control.poll_answered(2.1, PollAnswer(2.0, [], [], born=start))
    assert control.incarnations.current == RunnerIncarnation("i-1", start)
    assert control.status is None
    assert control.state() is RunnerState.DOWN
    assert control.incarnations.classify(status_born_at(5000, 10)) is HeartbeatClass.LATE
    assert control.incarnations.classify(status_born_at(7000)) is HeartbeatClass.UNCONFIRMED
    control.heartbeat_received(2.2, status_born_at(start))
    assert control.state() is RunnerState.READY


def test_ends_are_acknowledged_anew_in_each_incarnation() -> None:
    control = control_of_known_runner(5000)
    control.poll_answered(1.3, PollAnswer(1.2, [], [], listed=57, born=5000))
    assert control.next_poll(1.4, renew=False).last_seen == 57
    control.poll_answered(2.1, PollAnswer(2.0, [], [], born=6000))
    assert control.next_poll(2.2, renew=False).last_seen == 0


def test_incarnation_known_before_the_one_that_answers_may_start_later() -> None:
    """Its heartbeat may arrive before the previous incarnation's answer to a poll is read."""
    control = RunnerControl(lease_times(Bounds()))
    control.heartbeat_received(1.0, status_born_at(6000))
    control.poll_answered(1.1, PollAnswer(1.05, [], [], born=5000))
    assert control.incarnations.current == RunnerIncarnation("i-1", 5000)
    assert control.incarnations.classify(status_born_at(6000, 2)) is HeartbeatClass.UNCONFIRMED


def test_deregistered_id_is_accepted_again_with_its_next_incarnation() -> None:
    control = control_of_known_runner(5000)
    control.runner_deregistered(2.0, RunnerIncarnation("i-1", 5000))
    assert control.incarnations.classify(status_born_at(5000, 10)) is HeartbeatClass.LATE
    assert control.incarnations.classify(status_born_at(6000)) is HeartbeatClass.NEW


def test_deregistration_without_a_start_time_holds_until_the_next_heartbeat() -> None:
    """It may be a late one of an earlier incarnation with the id, so runs must continue."""
    control = control_of_known_runner(5000)
    control.runner_deregistered(2.0, RunnerIncarnation("i-1"))
    assert control.incarnations.current == RunnerIncarnation("i-1", 5000)
    assert control.state() is RunnerState.LEAVING
    control.heartbeat_received(2.5, status_born_at(5000, 10))
    assert control.state() is RunnerState.READY


def test_incarnation_with_a_start_time_may_replace_one_without() -> None:
    """A newer version of the runner may send it."""
    control = RunnerControl(lease_times(Bounds()))
    control.heartbeat_received(1.0, FIRST)
    control.poll_answered(1.1, PollAnswer(1.05, [], []))
    assert control.incarnations.classify(status_born_at(6000)) is HeartbeatClass.UNCONFIRMED
    control.poll_answered(2.1, PollAnswer(2.0, [], [], born=6000))
    assert control.incarnations.current == RunnerIncarnation("i-1", 6000)
    assert control.incarnations.classify(status_born_at(6000)) is HeartbeatClass.CURRENT


@pytest.mark.parametrize("before", [[], [NEXT]], ids=["first_incarnation", "next_incarnation"])
def test_poll_answers_may_have_a_start_time_that_heartbeats_lack(
    before: list[RunnerStatus],
) -> None:
    control = RunnerControl(lease_times(Bounds()))
    for status in (*before, FIRST):
        control.heartbeat_received(1.0, status)
    control.poll_answered(1.1, PollAnswer(1.05, [], [], born=6000))
    assert control.status == FIRST
    control.heartbeat_received(1.2, replace(FIRST, sequence=6))
    assert control.incarnations.current == RunnerIncarnation("i-1", 6000)
    assert control.state() is RunnerState.READY
    control.poll_answered(2.1, PollAnswer(2.0, [], [], born=5000))
    assert control.state() is RunnerState.DOWN

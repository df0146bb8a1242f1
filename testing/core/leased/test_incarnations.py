"""Which life of a runner a heartbeat speaks for."""

from dataclasses import replace

import pytest
from paddleshunt_core.leased.bounds import Bounds, lease_times
from paddleshunt_core.leased.incarnations import MAX_SEQUENCE_GAP, HeartbeatClass, Incarnations
from paddleshunt_core.leased.orders import PollAnswer, RunnerStatus
from paddleshunt_core.leased.resources import Resources
from paddleshunt_core.leased.runnercontrol import RunnerControl
from paddleshunt_core.leased.runnerincarnation import RunnerIncarnation
from paddleshunt_core.leased.wire import RunnerState

ROOM = Resources(8000, 8000)
FIRST = RunnerStatus(RunnerIncarnation("i-1"), "svc", "hall", ROOM, False, None, sequence=5)
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
    ids=["later", "not_numbered", "same", "earlier", "other_life"],
)
def test_what_an_account_is_worth_while_a_life_is_known(
    status: RunnerStatus, expected: HeartbeatClass
) -> None:
    lives = Incarnations()
    assert lives.classify(FIRST) is HeartbeatClass.NEW
    lives.follow(FIRST)
    assert lives.classify(status) is expected


def told(*sequences: int) -> list[int]:
    """Return which accounts of a life are followed that has said 5."""
    found = RunnerControl(lease_times(Bounds()))
    found.heartbeat_received(1.0, FIRST)
    followed: list[int] = []
    for at, sequence in enumerate(sequences):
        status = replace(FIRST, sequence=sequence)
        found.heartbeat_received(2.0 + at, status)
        if found.status is status:
            followed.append(sequence)
    return followed


@pytest.mark.parametrize(
    ("said", "followed"),
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
def test_a_number_far_ahead_counts_once_the_next_goes_on_from_it(
    said: list[int], followed: list[int]
) -> None:
    assert told(*said) == followed


@pytest.mark.parametrize("how", ["replaced", "left", "denied"])
def test_a_life_that_has_ended_is_never_followed_again(how: str) -> None:
    lives = Incarnations()
    lives.follow(FIRST)
    if how == "replaced":
        lives.follow(NEXT)
    elif how == "left":
        lives.end_current()
    else:
        lives.mark_ended(FIRST.runner)
    assert lives.classify(replace(FIRST, sequence=9)) is HeartbeatClass.LATE


def test_a_life_that_is_denied_is_not_asked_about_again_until_the_followed_one_has_ended() -> None:
    """It may register while the one before drains; one that has ended is found out by a look."""
    lives = Incarnations()
    lives.follow(FIRST)
    lives.deny(NEXT.runner)
    assert lives.classify(replace(NEXT, sequence=2)) is HeartbeatClass.LATE
    lives.end_current()
    assert lives.classify(replace(NEXT, sequence=3)) is HeartbeatClass.NEW
    assert lives.classify(replace(FIRST, sequence=9)) is HeartbeatClass.LATE


@pytest.mark.parametrize(
    ("looked_at", "expected"),
    [(False, HeartbeatClass.NEW), (True, HeartbeatClass.LATE)],
    ids=["never", "answered"],
)
def test_a_life_that_never_answered_may_be_yet_to_come(
    *, looked_at: bool, expected: HeartbeatClass
) -> None:
    """It registered before it had its address: the look found the life before."""
    found = RunnerControl(lease_times(Bounds()))
    found.heartbeat_received(1.0, FIRST)
    if looked_at:
        found.poll_answered(1.1, PollAnswer(1.05, [], []))
    found.poll_failed(1.2, other_incarnation=True)
    assert found.incarnations.classify(replace(FIRST, sequence=6)) is expected


def control() -> RunnerControl:
    """Return the control of a runner that is in its second life."""
    found = RunnerControl(lease_times(Bounds()))
    found.heartbeat_received(1.0, FIRST)
    found.heartbeat_received(2.0, NEXT)
    return found


@pytest.mark.parametrize(
    "late",
    [
        FIRST,
        replace(FIRST, leaving=True, sequence=6),
        replace(NEXT, leaving=True, sequence=1),
        replace(NEXT, capacity=Resources(1, 1), sequence=1),
    ],
    ids=["earlier_life", "earlier_life_leaving", "earlier_leaving", "earlier_room"],
)
def test_a_late_account_changes_nothing(late: RunnerStatus) -> None:
    found = control()
    found.heartbeat_received(3.0, late)
    assert found.status == NEXT
    assert found.state() is RunnerState.READY


def test_a_late_word_of_an_earlier_lifes_end_changes_nothing() -> None:
    found = control()
    assert found.runner_deregistered(3.0, FIRST.runner) == []
    assert found.status == NEXT


def born(start: int, sequence: int = 1) -> RunnerStatus:
    """Return an account of a life of `FIRST`'s id that tells its start."""
    return replace(FIRST, runner=RunnerIncarnation(FIRST.runner.id, start), sequence=sequence)


def known(start: int) -> RunnerControl:
    """Return the control of a runner whose life has said 9 and has answered a look."""
    found = RunnerControl(lease_times(Bounds()))
    found.heartbeat_received(1.0, born(start, 9))
    found.poll_answered(1.1, PollAnswer(1.05, [], [], born=start))
    return found


@pytest.mark.parametrize("start", [6000, 4000], ids=["later", "clock_set_back"])
def test_another_life_under_the_same_id_has_to_be_confirmed(start: int) -> None:
    assert known(5000).incarnations.classify(born(start)) is HeartbeatClass.UNCONFIRMED


def test_a_word_that_tells_no_start_goes_by_its_id() -> None:
    assert known(5000).incarnations.classify(replace(FIRST, sequence=9)) is HeartbeatClass.LATE
    assert known(5000).incarnations.classify(replace(FIRST, sequence=10)) is HeartbeatClass.CURRENT


@pytest.mark.parametrize("start", [6000, 4000], ids=["later", "clock_set_back"])
def test_the_lists_decide_which_life_of_an_id_is_there(start: int) -> None:
    found = known(5000)
    found.poll_answered(2.1, PollAnswer(2.0, [], [], born=start))
    assert found.incarnations.current == RunnerIncarnation("i-1", start)
    assert found.status is None
    assert found.state() is RunnerState.DOWN
    assert found.incarnations.classify(born(5000, 10)) is HeartbeatClass.LATE
    assert found.incarnations.classify(born(7000)) is HeartbeatClass.UNCONFIRMED
    found.heartbeat_received(2.2, born(start))
    assert found.state() is RunnerState.READY


def test_ends_are_acknowledged_anew_in_each_life() -> None:
    found = known(5000)
    found.poll_answered(1.3, PollAnswer(1.2, [], [], listed=57, born=5000))
    assert found.next_poll(1.4, renew=False).last_seen == 57
    found.poll_answered(2.1, PollAnswer(2.0, [], [], born=6000))
    assert found.next_poll(2.2, renew=False).last_seen == 0


def test_a_life_heard_of_before_the_one_that_answers_may_be_yet_to_come() -> None:
    """The heartbeat of the next life may come before the last one's answer to a look is read."""
    found = RunnerControl(lease_times(Bounds()))
    found.heartbeat_received(1.0, born(6000))
    found.poll_answered(1.1, PollAnswer(1.05, [], [], born=5000))
    assert found.incarnations.current == RunnerIncarnation("i-1", 5000)
    assert found.incarnations.classify(born(6000, 2)) is HeartbeatClass.UNCONFIRMED


def test_an_id_that_has_left_serves_again_in_its_next_life() -> None:
    found = known(5000)
    found.runner_deregistered(2.0, RunnerIncarnation("i-1", 5000))
    assert found.incarnations.classify(born(5000, 10)) is HeartbeatClass.LATE
    assert found.incarnations.classify(born(6000)) is HeartbeatClass.NEW


def test_a_word_of_an_end_that_names_no_start_is_believed_until_the_runner_says_otherwise() -> None:
    """It may be the late word of an earlier life under the id: what runs must go on."""
    found = known(5000)
    found.runner_deregistered(2.0, RunnerIncarnation("i-1"))
    assert found.incarnations.current == RunnerIncarnation("i-1", 5000)
    assert found.state() is RunnerState.LEAVING
    found.heartbeat_received(2.5, born(5000, 10))
    assert found.state() is RunnerState.READY


def test_a_life_that_tells_its_start_follows_one_that_told_none() -> None:
    """The runner's next software tells it."""
    found = RunnerControl(lease_times(Bounds()))
    found.heartbeat_received(1.0, FIRST)
    found.poll_answered(1.1, PollAnswer(1.05, [], []))
    assert found.incarnations.classify(born(6000)) is HeartbeatClass.UNCONFIRMED
    found.poll_answered(2.1, PollAnswer(2.0, [], [], born=6000))
    assert found.incarnations.current == RunnerIncarnation("i-1", 6000)
    assert found.incarnations.classify(born(6000)) is HeartbeatClass.CURRENT


@pytest.mark.parametrize("before", [[], [NEXT]], ids=["first_life", "next_life"])
def test_lists_may_tell_a_start_that_heartbeats_do_not(before: list[RunnerStatus]) -> None:
    found = RunnerControl(lease_times(Bounds()))
    for status in (*before, FIRST):
        found.heartbeat_received(1.0, status)
    found.poll_answered(1.1, PollAnswer(1.05, [], [], born=6000))
    assert found.status == FIRST
    found.heartbeat_received(1.2, replace(FIRST, sequence=6))
    assert found.incarnations.current == RunnerIncarnation("i-1", 6000)
    assert found.state() is RunnerState.READY
    found.poll_answered(2.1, PollAnswer(2.0, [], [], born=5000))
    assert found.state() is RunnerState.DOWN

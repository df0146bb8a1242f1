import pytest
from paddleshunt_core.ids import Incarnation
from paddleshunt_core.members import ENDED_KEPT, Host, HostState, Members, Role
from paddleshunt_core.messages import Heartbeat, Load

OLD, NEW = Incarnation("a", "1"), Incarnation("a", "2")


def heartbeat(*, leaving: bool = False, ended: bool = False) -> Heartbeat:
    return Heartbeat("a:1", "hall", "hall", "results", leaving, ended, 5000, Load(), 1, 1)


def host(state: HostState) -> Host:
    return Host("a", Role.TARGET, "hall", "hall", "a:1", "results", state)


@pytest.fixture
def members() -> Members:
    members = Members(heartbeat_seconds=1.0)
    members.record_heartbeat(10.0, OLD, heartbeat(), 0.0)
    return members


def test_silent_member_is_suspected_but_kept(members: Members) -> None:
    member = members.find(OLD)
    assert member is not None
    assert members.is_usable(member, 12.9)
    assert not members.is_usable(member, 13.1)
    assert not members.has_ended(OLD)


def test_newer_incarnation_ends_the_older(members: Members) -> None:
    assert members.record_heartbeat(11.0, NEW, heartbeat(), 0.0)
    assert members.has_ended(OLD)
    assert not members.record_heartbeat(12.0, OLD, heartbeat(), 0.0)
    assert members.find(NEW) is not None


def test_late_heartbeat_does_not_undo_a_newer_one(members: Members) -> None:
    members.record_heartbeat(12.0, OLD, heartbeat(leaving=True), 0.0)
    members.record_heartbeat(12.1, OLD, heartbeat(), 1.0)
    member = members.find(OLD)
    assert member is not None
    assert member.leaving


def test_last_heartbeat_ends_the_incarnation(members: Members) -> None:
    assert members.record_heartbeat(11.0, OLD, heartbeat(ended=True), 0.0)
    assert members.has_ended(OLD)


def test_hosts_list_marks_a_member_as_leaving_and_then_gone(members: Members) -> None:
    assert members.update_hosts(10.5, [host(HostState.LEAVING)])
    member = members.find(OLD)
    assert member is not None
    assert member.leaving
    assert members.update_hosts(10.5, [host(HostState.GONE)])
    assert members.has_ended(OLD)


def test_host_missing_from_the_list_stays_a_member(members: Members) -> None:
    members.update_hosts(10.5, [])
    assert members.find(OLD) is not None


def test_clock_estimate_advances_between_heartbeats(members: Members) -> None:
    member = members.find(OLD)
    assert member is not None
    assert member.clock_ms(10.5) == 5500


def test_ended_incarnations_are_bounded(members: Members) -> None:
    for number in range(ENDED_KEPT + 10):
        members.end(Incarnation(f"h{number}", "1"))
    assert len(members.ended) == ENDED_KEPT

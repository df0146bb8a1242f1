from random import Random

import pytest
from paddleshunt_core.ids import Incarnation
from paddleshunt_core.members import Member, Members
from paddleshunt_core.messages import Heartbeat, Load, View
from paddleshunt_core.table import EMPTY_TABLE, Row, TableController, revise
from paddleshunt_core.views import PEERS_FAR, PEERS_NEAR, Views


def beat(site: str, *, view: int = 0, running: int = 0, slots: int = 4) -> Heartbeat:
    load = Load(slots, running)
    return Heartbeat("a:1", site, site, "results", False, False, 0, load, 1, 1, view)


def fill(members: Members, count: int, order: Random | None = None) -> Member:
    numbers = list(range(count))
    if order is not None:
        order.shuffle(numbers)
    for number in numbers:
        site = "hall" if number % 2 else "depot"
        members.record_heartbeat(0.0, Incarnation(f"t{number:03d}", "1"), beat(site), 0.0)
    member = members.find(Incarnation("t001", "1"))
    assert member is not None
    return member


def view_of(views: Views, member: Member) -> View:
    body = views.view(0.0, member, [], None).body
    assert isinstance(body, View)
    return body


@pytest.fixture
def members() -> Members:
    return Members(1.0)


def test_view_has_a_snapshot_until_the_target_has_it(members: Members) -> None:
    views = Views(members, TableController())
    member = fill(members, 4)
    first = view_of(views, member)
    assert first.snapshot is not None
    members.record_heartbeat(0.5, member.incarnation, beat("hall", view=first.digest), 0.0)
    assert view_of(views, member).snapshot is None


@pytest.mark.parametrize(
    ("change", "has_snapshot"),
    [
        pytest.param(beat("depot", running=3), False, id="load"),
        pytest.param(beat("depot", slots=2), True, id="slots"),
    ],
)
def test_only_relevant_changes_cause_a_new_snapshot(
    members: Members, change: Heartbeat, has_snapshot: bool
) -> None:
    views = Views(members, TableController())
    member = fill(members, 4)
    digest = view_of(views, member).digest
    members.record_heartbeat(0.5, member.incarnation, beat("hall", view=digest), 0.0)
    members.record_heartbeat(0.6, Incarnation("t000", "1"), change, 0.0)
    assert (view_of(views, member).snapshot is not None) is has_snapshot


def test_change_to_another_service_sends_only_the_table_revision(members: Members) -> None:
    table = TableController()
    views = Views(members, table)
    member = fill(members, 2)
    digest = view_of(views, member).digest
    members.record_heartbeat(0.5, member.incarnation, beat("hall", view=digest), 0.0)
    table.adopt(revise(EMPTY_TABLE, [Row("other", "hall", 1, 1, 1)], "edit"))
    view = view_of(views, member)
    assert view.snapshot is None
    assert view.table_revision == 1


def test_entries_with_the_same_members_compute_the_same_digest(rng: Random) -> None:
    one, other = Members(1.0), Members(1.0)
    first, second = fill(one, 80), fill(other, 80, rng)
    table = TableController()
    assert view_of(Views(one, table), first).digest == view_of(Views(other, table), second).digest


def test_subset_is_bounded_and_includes_the_target(members: Members) -> None:
    view = view_of(Views(members, TableController()), fill(members, 200))
    assert view.snapshot is not None
    peers = view.snapshot.peers
    assert len([peer for peer in peers if peer.site == "hall"]) == PEERS_NEAR
    assert len([peer for peer in peers if peer.site == "depot"]) == PEERS_FAR
    assert "t001" in [peer.incarnation.host for peer in peers]

"""Sessions deliver bodies in order and once, across reconnects, and carry a lease."""

from paddleshunt_core.leased.session import Session, lower_quartile_echo_age
from paddleshunt_core.leased.wire import Body, CatalogVersion, Frame


def body(number: int) -> Body:
    return CatalogVersion(number)


def test_bodies_arrive_once_and_in_order() -> None:
    one, two = Session(1, 0), Session(1, 0)
    one.send(body(1))
    one.send(body(2))
    frame = one.frame(10)
    assert two.accept(frame) == [body(1), body(2)]
    assert two.accept(frame) == []
    one.send(body(3))
    assert two.accept(one.frame(20)) == [body(3)]


def test_bodies_lost_with_a_connection_are_sent_again() -> None:
    one, two = Session(1, 0), Session(1, 0)
    one.send(body(1))
    two.accept(one.frame(10))
    one.send(body(2))
    one.frame(20)
    one.send(body(3))
    one.resume(two.received)
    assert two.accept(one.frame(30)) == [body(2), body(3)]


def test_the_lease_counts_from_the_echoed_stamp() -> None:
    target, entry = Session(1, 0), Session(1, 0)
    delayed = target.frame(100)
    entry.accept(delayed)
    answer = entry.frame(5000)
    target.accept(answer)
    assert target.confirmed_ms == 100


def test_sessions_without_an_echo_have_no_echo_age() -> None:
    """Where echoes are late, sessions end and reopen often, and must not count as fresh."""
    echoed, opened = Session(1, 1000), Session(2, 2900)
    echoed.accept(Frame(1, 0, 5, 1500, []))
    assert opened.echo_age(3.0) is None
    assert lower_quartile_echo_age(3.0, [opened, echoed, opened]) == 1.5
    assert lower_quartile_echo_age(3.0, [opened]) is None


def test_repeating_an_echo_renews_nothing() -> None:
    target, entry = Session(1, 0), Session(1, 0)
    entry.accept(target.frame(100))
    entry.frame(150)
    entry.frame(900)
    assert entry.renewed_ms == 150


def test_a_frame_after_a_gap_renews_and_acknowledges_nothing() -> None:
    """The missing bodies may stop earlier runs, so the echo must not renew the lease."""
    target, entry = Session(1, 0), Session(1, 0)
    entry.accept(target.frame(100))
    entry.send(body(1))
    target.accept(entry.frame(110))
    target.send(body(9))
    entry.accept(target.frame(200))
    entry.send(body(2))
    entry.frame(210)
    assert target.accept(entry.frame(220)) == []
    assert target.confirmed_ms == 100
    assert target.acknowledged == 0


def test_an_echo_renews_from_the_time_its_stamp_was_received() -> None:
    """A late echo must not extend the lease of a peer that has died since."""
    target, entry = Session(1, 0), Session(1, 0)
    entry.accept(target.frame(100), 110)
    entry.frame(900)
    assert entry.renewed_ms == 110
    entry.accept(target.frame(800), 1000)
    entry.frame(1010)
    assert entry.renewed_ms == 1000

"""An entry that has lost all its targets sends callers to those that have some."""

from itertools import pairwise

import pytest
from paddleshunt_core.leased.targetless import (
    PEER_COUNT_SECONDS,
    READY_AFTER_SECONDS,
    UNREADY_AFTER_SECONDS,
    Targetless,
)


def lost(at: float = 10.0, others: int = 40) -> Targetless:
    """Return what an entry knows that has lost its targets; another says how many it has."""
    known = Targetless()
    known.record_own_count(at - 5.0, 43)
    known.record_own_count(at, 0)
    known.record_peer_count(at, "e1", others)
    return known


def test_an_entry_without_targets_sends_callers_to_one_that_has_some() -> None:
    known = lost(10.0)
    assert not known.should_be_unready(10.0 + UNREADY_AFTER_SECONDS)
    assert known.should_be_unready(10.1 + UNREADY_AFTER_SECONDS)


@pytest.mark.parametrize("others", [0, None], ids=["they-have-none", "nothing-known"])
def test_if_no_entry_is_known_to_have_targets_all_stay_ready(others: int | None) -> None:
    known = Targetless()
    known.record_own_count(5.0, 43)
    known.record_own_count(10.0, 0)
    if others is not None:
        known.record_peer_count(10.0, "e1", 43)
        known.record_peer_count(10.4, "e1", others)
    assert not known.should_be_unready(12.0)


def test_an_old_word_of_others_does_not_hold() -> None:
    known = lost(10.0)
    assert not known.should_be_unready(10.0 + PEER_COUNT_SECONDS)


def test_an_entry_that_starts_is_not_taken_for_one_that_lost_its_targets() -> None:
    known = Targetless()
    known.record_own_count(1.0, 0)
    known.record_peer_count(1.0, "e1", 43)
    assert not known.should_be_unready(5.0)


def test_callers_come_back_once_targets_have_stayed_for_a_while() -> None:
    known = lost(10.0)
    known.record_own_count(13.0, 20)
    assert known.should_be_unready(13.0 + READY_AFTER_SECONDS / 2)
    assert not known.should_be_unready(13.0 + READY_AFTER_SECONDS)


def test_sessions_that_open_and_end_do_not_make_readiness_flap() -> None:
    known = lost(10.0)
    seen: list[bool] = []
    at = 11.0
    while at < 20.0:
        known.record_own_count(at, 0 if int(at / 0.4) % 3 else 5)
        known.record_peer_count(at, "e1", 40)
        seen.append(known.should_be_unready(at))
        at += 0.1
    assert sum(one is not two for one, two in pairwise(seen)) <= 2


def test_a_short_loss_changes_nothing() -> None:
    known = lost(10.0)
    known.record_own_count(10.0 + UNREADY_AFTER_SECONDS / 2, 43)
    assert not known.should_be_unready(10.0 + UNREADY_AFTER_SECONDS)

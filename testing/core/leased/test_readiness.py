"""Readiness of an entry that has lost all its targets."""

from itertools import pairwise

import pytest
from paddleshunt_core.leased.readiness import (
    PEER_COUNT_SECONDS,
    READY_AFTER_SECONDS,
    UNREADY_AFTER_SECONDS,
    Readiness,
)


def lost(at: float = 10.0, others: int = 40) -> Readiness:
    """Return the state of an entry that has lost its targets while another one has `others`."""
    state = Readiness()
    state.record_own_count(at - 5.0, 43)
    state.record_own_count(at, 0)
    state.record_peer_count(at, "e1", others)
    return state


def test_an_entry_without_targets_is_unready_while_another_has_some() -> None:
    state = lost(10.0)
    assert not state.should_be_unready(10.0 + UNREADY_AFTER_SECONDS)
    assert state.should_be_unready(10.1 + UNREADY_AFTER_SECONDS)


@pytest.mark.parametrize("others", [0, None], ids=["others-have-none", "others-unknown"])
def test_an_entry_stays_ready_if_no_other_is_known_to_have_targets(others: int | None) -> None:
    state = Readiness()
    state.record_own_count(5.0, 43)
    state.record_own_count(10.0, 0)
    if others is not None:
        state.record_peer_count(10.0, "e1", 43)
        state.record_peer_count(10.4, "e1", others)
    assert not state.should_be_unready(12.0)


def test_an_old_target_count_of_another_entry_is_ignored() -> None:
    state = lost(10.0)
    assert not state.should_be_unready(10.0 + PEER_COUNT_SECONDS)


def test_a_starting_entry_without_targets_stays_ready() -> None:
    state = Readiness()
    state.record_own_count(1.0, 0)
    state.record_peer_count(1.0, "e1", 43)
    assert not state.should_be_unready(5.0)


def test_an_entry_is_ready_again_once_its_targets_have_stayed() -> None:
    state = lost(10.0)
    state.record_own_count(13.0, 20)
    assert state.should_be_unready(13.0 + READY_AFTER_SECONDS / 2)
    assert not state.should_be_unready(13.0 + READY_AFTER_SECONDS)


def test_sessions_that_open_and_end_do_not_make_readiness_flap() -> None:
    state = lost(10.0)
    seen: list[bool] = []
    at = 11.0
    while at < 20.0:
        state.record_own_count(at, 0 if int(at / 0.4) % 3 else 5)
        state.record_peer_count(at, "e1", 40)
        seen.append(state.should_be_unready(at))
        at += 0.1
    assert sum(one is not two for one, two in pairwise(seen)) <= 2


def test_a_short_loss_changes_nothing() -> None:
    state = lost(10.0)
    state.record_own_count(10.0 + UNREADY_AFTER_SECONDS / 2, 43)
    assert not state.should_be_unready(10.0 + UNREADY_AFTER_SECONDS)

"""Whom a target offers its scarce room to."""

import pytest
from paddleshunt_core.leased.offers import OFFER_SECONDS, Offers
from paddleshunt_core.leased.resources import Resources

SMALL = Resources(1000, 64)
WIDE = Resources(4000, 64)


@pytest.fixture
def offers() -> Offers:
    offers = Offers()
    offers.request("e0", SMALL, 5.0)
    offers.request("e1", WIDE, 3.0)
    return offers


def test_room_is_for_nobody_if_nobody_waits() -> None:
    assert Offers().offered_to(1.0, WIDE) is None
    assert Offers().expires_at() is None


def test_the_most_urgent_task_that_fits_is_offered_room(offers: Offers) -> None:
    assert offers.offered_to(1.0, WIDE) == "e1"


def test_room_too_small_for_the_most_urgent_goes_to_the_next(offers: Offers) -> None:
    assert offers.offered_to(1.0, SMALL) == "e0"


def test_room_that_fits_nobody_is_for_nobody(offers: Offers) -> None:
    assert offers.offered_to(1.0, Resources(500, 64)) is None


def test_an_offer_stands_when_something_more_urgent_comes(offers: Offers) -> None:
    offers.offered_to(1.0, WIDE)
    offers.request("e2", SMALL, 1.0)
    assert offers.offered_to(1.001, WIDE) == "e1"


def test_an_offer_that_is_not_used_lapses_and_goes_to_the_next(offers: Offers) -> None:
    offers.offered_to(1.0, WIDE)
    assert offers.expires_at() == 1.0 + OFFER_SECONDS
    assert offers.offered_to(1.0 + OFFER_SECONDS, WIDE) == "e0"
    assert offers.offered_to(1.0 + 2 * OFFER_SECONDS, WIDE) is None


@pytest.mark.parametrize("entry", ["e0", "e1"])
def test_an_entry_that_had_its_turn_must_ask_again(offers: Offers, entry: str) -> None:
    offers.offered_to(1.0, WIDE)
    offers.drop(entry)
    assert offers.offered_to(1.0, WIDE) == ({"e0", "e1"} - {entry}).pop()


def test_an_offer_whose_room_has_shrunk_goes_to_one_that_fits(offers: Offers) -> None:
    offers.offered_to(1.0, WIDE)
    assert offers.offered_to(1.001, SMALL) == "e0"

"""The entry that a target offers its contended free resources to."""

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


def test_there_is_no_offer_if_no_entry_waits() -> None:
    assert Offers().offered_to(1.0, WIDE) is None
    assert Offers().expires_at() is None


def test_the_offer_goes_to_the_most_urgent_task_that_fits(offers: Offers) -> None:
    assert offers.offered_to(1.0, WIDE) == "e1"


def test_resources_too_small_for_the_most_urgent_task_are_offered_to_the_next(
    offers: Offers,
) -> None:
    assert offers.offered_to(1.0, SMALL) == "e0"


def test_resources_too_small_for_every_task_are_not_offered(offers: Offers) -> None:
    assert offers.offered_to(1.0, Resources(500, 64)) is None


def test_an_offer_is_kept_when_a_more_urgent_request_comes(offers: Offers) -> None:
    offers.offered_to(1.0, WIDE)
    offers.request("e2", SMALL, 1.0)
    assert offers.offered_to(1.001, WIDE) == "e1"


def test_an_unused_offer_expires_and_goes_to_the_next_entry(offers: Offers) -> None:
    offers.offered_to(1.0, WIDE)
    assert offers.expires_at() == 1.0 + OFFER_SECONDS
    assert offers.offered_to(1.0 + OFFER_SECONDS, WIDE) == "e0"
    assert offers.offered_to(1.0 + 2 * OFFER_SECONDS, WIDE) is None


@pytest.mark.parametrize("entry", ["e0", "e1"])
def test_an_entry_whose_request_was_dropped_gets_no_offer(offers: Offers, entry: str) -> None:
    offers.offered_to(1.0, WIDE)
    offers.drop(entry)
    assert offers.offered_to(1.0, WIDE) == ({"e0", "e1"} - {entry}).pop()


def test_an_offer_moves_to_a_task_that_fits_when_the_free_resources_shrink(offers: Offers) -> None:
    offers.offered_to(1.0, WIDE)
    assert offers.offered_to(1.001, SMALL) == "e0"

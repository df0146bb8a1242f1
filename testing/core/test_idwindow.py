"""An id is accepted from shortly before it was minted until its window has passed."""

from random import Random

import pytest
from paddleshunt_core.ids import Incarnation, mint
from paddleshunt_core.idwindow import IdWindow
from paddleshunt_core.outcomes import NotAccepted, Unknown

HOME = Incarnation("host-1", "boot-1")
MINTED = 1000.0
WINDOW = IdWindow(HOME, window=120.0, skew=5.0)


@pytest.mark.parametrize(
    ("now", "expected"),
    [
        (MINTED - 6.0, NotAccepted),
        (MINTED - 4.0, type(None)),
        (MINTED + 119.0, type(None)),
        (MINTED + 121.0, Unknown),
    ],
    ids=["future", "within skew", "within window", "too old"],
)
def test_acceptance_depends_on_the_time_since_minting(now: float, expected: type) -> None:
    name = mint(HOME, round(MINTED * 1000), Random(1))
    assert isinstance(WINDOW.rejection(now, name), expected)


@pytest.mark.parametrize(
    "name",
    [mint(Incarnation("host-1", "boot-2"), round(MINTED * 1000), Random(1)), "no id"],
    ids=["another incarnation", "unreadable"],
)
def test_an_id_of_another_home_is_not_accepted(name: str) -> None:
    assert isinstance(WINDOW.rejection(MINTED, name), NotAccepted)


def test_an_id_is_kept_until_it_can_no_longer_be_accepted() -> None:
    name = mint(HOME, round(MINTED * 1000), Random(1))
    forgotten = WINDOW.forget_at(MINTED, name)
    assert isinstance(WINDOW.rejection(forgotten, name), Unknown)

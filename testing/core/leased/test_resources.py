"""Arithmetic on what tasks need and runners have."""

import pytest
from paddleshunt_core.leased.resources import NO_RESOURCES, Resources

WHOLE = Resources(8000, 4000, 2)


def test_sum_and_difference() -> None:
    assert Resources(1, 2, 3) + Resources(4, 5, 6) - Resources(1, 1, 1) == Resources(4, 6, 8)


@pytest.mark.parametrize(
    ("need", "fits"),
    [
        (Resources(8000, 4000, 2), True),
        (Resources(8001, 1, 0), False),
        (Resources(1, 4001, 0), False),
        (Resources(1, 1, 3), False),
    ],
    ids=["all", "processor", "memory", "accelerators"],
)
def test_each_kind_of_resource_must_fit(need: Resources, fits: bool) -> None:
    assert need.fits(WHOLE) is fits


def test_shares_ignore_resources_without_capacity() -> None:
    part = Resources(4000, 1000, 2)
    assert part.share_of(WHOLE) == 1.0
    assert part.share_of(NO_RESOURCES) == 0.0

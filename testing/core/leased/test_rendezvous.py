"""Rendezvous ranks."""

import pytest
from paddleshunt_core.leased.rendezvous import rendezvous_rank


@pytest.mark.parametrize(
    ("chooser", "candidate", "expected"),
    [
        ("q", "t0", 14553787785617413897),
        ("t0", "q", 9201089083285690654),
        ("queue", "bánh", 17572876079035387619),
    ],
    ids=["one", "the-other-way", "not-ascii"],
)
def test_a_rank_is_the_same_in_all_processes_and_releases(
    chooser: str, candidate: str, expected: int
) -> None:
    assert rendezvous_rank(chooser, candidate) == expected

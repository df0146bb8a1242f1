"""A short soak of the real programs; `make soak` plays longer ones, and more seeds."""

import asyncio
from pathlib import Path

import pytest
from faults import LOSES_STOPS, WEIGHTS, schedule
from soak import Size, known_seeds, play


@pytest.mark.timeout(150)
@pytest.mark.parametrize("seed", known_seeds(ci=True))
def test_the_rules_hold_under_faults_from_outside(seed: int, tmp_path: Path) -> None:
    result = asyncio.run(play(seed, Size(), tmp_path))
    assert not [f"{v.rule} {v.text}" for v in result.violations]
    assert result.starts > 0


def test_a_seed_gives_one_schedule() -> None:
    assert schedule(3, 20.0) == schedule(3, 20.0)
    assert schedule(3, 20.0) != schedule(4, 20.0)


def test_all_kinds_of_faults_come() -> None:
    kinds = {fault.kind for seed in range(20) for fault in schedule(seed, 15.0)}
    assert kinds == {*WEIGHTS, LOSES_STOPS}

"""A short soak of the real programs; `make soak` plays longer ones, and more seeds."""

import asyncio
from itertools import pairwise
from pathlib import Path

import pytest
from faults import CRASHING, EVACUATE, LOSES_STOPS, ODD_WORDS, SHRINKS, WEIGHTS, schedule
from soak import Result, Size, known_seeds, play
from soakrunner import Faults
from soakstore import StoreFaults
from soakwire import KINDS as WIRE_KINDS
from widefaults import wide_schedule


async def play_at_once(seeds: list[int], folder: Path) -> list[Result]:
    """Play seeds at the same time, each with a deployment of its own."""
    folders = [folder / str(seed) for seed in seeds]
    for own in folders:
        own.mkdir()
    pairs = zip(seeds, folders, strict=True)
    return await asyncio.gather(*[play(seed, Size(), own) for seed, own in pairs])


@pytest.mark.timeout(150)
def test_the_rules_hold_under_faults_from_outside(tmp_path: Path) -> None:
    results = asyncio.run(play_at_once(known_seeds(ci=True), tmp_path))
    assert len(results) > 1
    assert not [f"{r.seed}: {v.rule} {v.text}" for r in results for v in r.violations]
    assert all(result.starts > 0 for result in results)


def test_a_seed_gives_one_schedule() -> None:
    assert schedule(3, 20.0) == schedule(3, 20.0)
    assert schedule(3, 20.0) != schedule(4, 20.0)


def test_all_kinds_of_faults_come() -> None:
    kinds = {fault.kind for seed in range(20) for fault in schedule(seed, 15.0)}
    assert kinds == {*WEIGHTS, LOSES_STOPS, EVACUATE, CRASHING, SHRINKS, ODD_WORDS}


def test_a_seed_gives_one_schedule_of_wide_faults() -> None:
    assert wide_schedule(3, 20.0) == wide_schedule(3, 20.0)
    assert wide_schedule(3, 20.0) != wide_schedule(4, 20.0)


def test_all_kinds_of_wide_faults_come_and_overlap() -> None:
    schedules = [wide_schedule(seed, 15.0) for seed in range(20)]
    assert {fault.kind for faults in schedules for fault in faults} == {*WIRE_KINDS, CRASHING}
    assert any(
        one.at + one.seconds > other.at
        for faults in schedules
        for one, other in pairwise(faults)
        if one.kind != other.kind
    )


@pytest.mark.parametrize("faults", [Faults(), StoreFaults()], ids=["runner", "store"])
def test_a_fault_that_no_stand_in_knows_is_refused(faults: Faults | StoreFaults) -> None:
    """Faults are set by name, so a name that is wrong must not pass for one that does nothing."""
    with pytest.raises(AttributeError, match="unknown_fault"):
        setattr(faults, "unknown_fault", True)  # noqa: B010

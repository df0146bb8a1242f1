"""Which jobs are refused at once: those that no room is left for, or that can't end in time."""

from random import Random

import pytest
from leasedfleet import Fleet
from paddleshunt_core.leased.outcomes import Completed, Refused


def hand_in(
    fleet: Fleet,
    key: str,
    length: float,
    estimate: float,
    patience: float = 1.0,
    count: int = 1,
) -> int:
    """Hand in a job for the first time: who has longer work waits longer for its answer."""
    deadline = patience * (1.5 + 3.5 * length)
    return fleet.submit("e0", key, count=count, length=length, estimate=estimate, deadline=deadline)


@pytest.fixture
def fleet() -> Fleet:
    """A fleet whose one entry has learned how deadlines tell of lengths."""
    fleet = Fleet(entries=1, targets=4)
    fleet.settle()
    rng = Random(7)
    for number in range(80):
        length = rng.uniform(0.1, 0.5)
        estimate = length * rng.uniform(0.4, 1.9)
        hand_in(fleet, f"known{number}", length, estimate)
        fleet.run(0.12)
    fleet.run(2.0)
    return fleet


def submit_as_if_sent_before(fleet: Fleet, key: str, length: float = 0.2) -> int:
    """Hand in a job whose deadline is far too short for what its caller says of its length."""
    return hand_in(fleet, key, length, 1.4)


def test_calm_traffic_is_not_refused_for_what_is_estimated_of_it() -> None:
    """Callers' estimates vary widely; some look like those of jobs that were sent again."""
    fleet = Fleet(entries=1, targets=6)
    fleet.settle()
    rng = Random(3)
    callers = []
    for number in range(500):
        length = min(1.0, 0.2 * rng.lognormvariate(0.0, 0.5))
        estimate = length * rng.lognormvariate(0.0, 0.6)
        caller = hand_in(fleet, f"job{number}", length, estimate, rng.uniform(0.97, 1.03))
        callers.append(caller)
        fleet.run(0.04)
    fleet.run(3.0)
    assert [fleet.answers[caller] for caller in callers] == [Completed()] * len(callers)


def test_a_job_that_seems_late_is_served_while_there_is_room(fleet: Fleet) -> None:
    caller = submit_as_if_sent_before(fleet, "odd")
    fleet.run(1.0)
    assert fleet.answers[caller] == Completed()


def test_a_job_that_seems_late_is_refused_at_once_without_room(fleet: Fleet) -> None:
    for number in range(4):
        hand_in(fleet, f"big{number}", 1.5, 1.5, count=8)
    fleet.run(0.1)
    caller = submit_as_if_sent_before(fleet, "odd")
    answer = fleet.answers[caller]
    assert isinstance(answer, Refused)
    assert answer.reason == "no_room"
    assert answer.retry_after > 0


def test_a_job_that_can_not_end_before_its_caller_leaves_is_refused_at_once(fleet: Fleet) -> None:
    caller = fleet.submit("e0", "late", count=1, length=2.0, deadline=0.5)
    answer = fleet.answers[caller]
    assert isinstance(answer, Refused)
    assert answer.reason == "too_late"


def test_a_short_job_is_not_refused_while_targets_are_being_met() -> None:
    """All hosts are back from a loss of power; callers are there before the first target is."""
    fleet = Fleet(entries=1, targets=2)
    for target in fleet.targets:
        fleet.kill(target)
    fleet.run(0.1)
    caller = fleet.submit("e0", "short", count=4, length=0.05)
    assert caller not in fleet.answers
    for target in fleet.targets:
        fleet.start(target)
    fleet.run(0.5)
    assert fleet.answers[caller] == Completed()

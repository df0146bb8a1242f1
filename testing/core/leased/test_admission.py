"""Refusal of jobs on submission, for lack of capacity or because they can't end in time."""

from random import Random

import pytest
from leasedfleet import Fleet
from paddleshunt_core.leased.outcomes import Completed, Refused


def submit(
    fleet: Fleet,
    key: str,
    length: float,
    estimate: float,
    deadline_factor: float = 1.0,
    count: int = 1,
) -> int:
    """Submit a job for the first time, with a deadline that grows with its length."""
    deadline = deadline_factor * (1.5 + 3.5 * length)
    return fleet.submit("e0", key, count=count, length=length, estimate=estimate, deadline=deadline)


@pytest.fixture
def fleet() -> Fleet:
    """A fleet whose single entry has learned how deadlines relate to lengths."""
    fleet = Fleet(entries=1, targets=4)
    fleet.settle()
    rng = Random(7)
    for number in range(80):
        length = rng.uniform(0.1, 0.5)
        estimate = length * rng.uniform(0.4, 1.9)
        submit(fleet, f"known{number}", length, estimate)
        fleet.run(0.12)
    fleet.run(2.0)
    return fleet


def submit_as_if_sent_before(fleet: Fleet, key: str, length: float = 0.2) -> int:
    """Submit a job whose deadline is far too short for its estimate, as after a resubmission."""
    return submit(fleet, key, length, 1.4)


def test_light_traffic_is_not_refused_because_of_estimates() -> None:
    """Callers' estimates vary widely, so that some jobs look like resubmitted ones."""
    fleet = Fleet(entries=1, targets=6)
    fleet.settle()
    rng = Random(3)
    callers = []
    for number in range(500):
        length = min(1.0, 0.2 * rng.lognormvariate(0.0, 0.5))
        estimate = length * rng.lognormvariate(0.0, 0.6)
        caller = submit(fleet, f"job{number}", length, estimate, rng.uniform(0.97, 1.03))
        callers.append(caller)
        fleet.run(0.04)
    fleet.run(3.0)
    assert [fleet.answers[caller] for caller in callers] == [Completed()] * len(callers)


def test_a_job_that_seems_late_is_admitted_while_there_is_capacity(fleet: Fleet) -> None:
    caller = submit_as_if_sent_before(fleet, "odd")
    fleet.run(1.0)
    assert fleet.answers[caller] == Completed()


def test_a_job_that_seems_late_is_refused_at_once_without_capacity(fleet: Fleet) -> None:
    for number in range(4):
        submit(fleet, f"big{number}", 1.5, 1.5, count=8)
    fleet.run(0.1)
    caller = submit_as_if_sent_before(fleet, "odd")
    answer = fleet.answers[caller]
    assert isinstance(answer, Refused)
    assert answer.reason == "no_room"
    assert answer.retry_after > 0


def test_a_job_that_can_not_end_before_its_deadline_is_refused_at_once(fleet: Fleet) -> None:
    caller = fleet.submit("e0", "late", count=1, length=2.0, deadline=0.5)
    answer = fleet.answers[caller]
    assert isinstance(answer, Refused)
    assert answer.reason == "too_late"


def test_a_short_job_is_not_refused_while_targets_are_still_connecting() -> None:
    """After a power outage callers may connect before the first target."""
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

"""Tests of cancelled jobs: what entries remember, what callers are answered, and what runs."""

import pytest
from leasedfleet import Fleet
from paddleshunt_core.leased import cancellations
from paddleshunt_core.leased.cancellations import (
    CONFIRMATION_SECONDS,
    RETENTION_SECONDS,
    CancelAnswer,
    CancelledJobs,
    CancelResult,
    PendingCancellations,
)
from paddleshunt_core.leased.jobs import JobState
from paddleshunt_core.leased.outcomes import Cancelled, Completed
from paddleshunt_core.leased.wire import CancelledJob, TaskId

CANCEL_SECONDS = 0.3
"""Seconds in which the runs of a cancelled job end while nothing else is wrong."""


@pytest.fixture
def fleet() -> Fleet:
    fleet = Fleet(entries=2, targets=3)
    fleet.settle()
    return fleet


def running(fleet: Fleet, key: str) -> int:
    """Return the number of a job's runs at work."""
    runners = fleet.runners.values()
    return sum(run.task.job == key for runner in runners for run in runner.running)


def starts(fleet: Fleet, key: str) -> int:
    runners = fleet.runners.values()
    return sum(runner.starts[TaskId(key, 0, n)] for runner in runners for n in range(10))


@pytest.mark.parametrize("entry", ["e0", "e1"], ids=["holder", "other_entry"])
def test_runs_of_a_cancelled_job_stop(fleet: Fleet, entry: str) -> None:
    caller = fleet.submit("e0", "job", count=4, length=5.0, deadline=9.0)
    fleet.run(0.5)
    assert running(fleet, "job") == 4
    assert fleet.cancel(entry, "job")
    assert fleet.answers[caller] == Cancelled("cancelled")
    fleet.run(CANCEL_SECONDS)
    assert running(fleet, "job") == 0
    fleet.run(5.0)
    assert starts(fleet, "job") == 4


def test_cancelled_job_that_waits_never_starts(fleet: Fleet) -> None:
    fleet.submit("e0", "first", count=3, length=2.0, processor=8000, deadline=9.0)
    fleet.run(0.3)
    caller = fleet.submit("e0", "second", count=3, length=1.0, processor=8000, deadline=9.0)
    fleet.run(0.3)
    assert fleet.cancel("e1", "second")
    assert fleet.answers[caller] == Cancelled("cancelled")
    fleet.run(5.0)
    assert starts(fleet, "second") == 0


def test_resources_of_a_cancelled_job_go_to_the_next(fleet: Fleet) -> None:
    fleet.submit("e0", "first", count=3, length=5.0, processor=8000, deadline=9.0)
    fleet.run(0.3)
    caller = fleet.submit("e1", "next", count=3, length=1.0, processor=8000, deadline=9.0)
    fleet.run(0.3)
    assert running(fleet, "next") == 0
    fleet.cancel("e1", "first")
    fleet.run(CANCEL_SECONDS)
    assert running(fleet, "next") == 3
    fleet.run(1.5)
    assert fleet.answers[caller] == Completed()


@pytest.mark.parametrize("entry", ["e0", "e1"], ids=["same_entry", "other_entry"])
def test_job_that_comes_after_its_cancellation_never_starts(fleet: Fleet, entry: str) -> None:
    """The cancellation may overtake the job, or the caller may send the job again."""
    assert not fleet.cancel("e0", "job")
    caller = fleet.submit(entry, "job")
    assert fleet.answers[caller] == Cancelled("cancelled_before")
    fleet.run(1.0)
    assert starts(fleet, "job") == 0


@pytest.mark.parametrize("seconds", [0.2, 0.36, 1.4])
@pytest.mark.parametrize("moment", [0.0, 0.01, 0.03, 0.5], ids=lambda it: f"{it}s")
def test_nothing_runs_on_though_targets_were_frozen_at_the_cancellation(
    fleet: Fleet, moment: float, seconds: float
) -> None:
    fleet.submit("e0", "job", count=6, length=5.0, deadline=9.0)
    fleet.run(moment)
    for name in fleet.targets:
        fleet.freeze(name)
    fleet.cancel("e1", "job")
    fleet.run(seconds)
    for name in fleet.targets:
        fleet.thaw(name)
    fleet.run(fleet.times.session_expiry)
    before = starts(fleet, "job")
    assert running(fleet, "job") == 0
    fleet.run(4.0)
    assert starts(fleet, "job") == before


def test_nothing_runs_on_though_stops_are_lost(fleet: Fleet) -> None:
    fleet.submit("e0", "job", count=6, length=5.0, deadline=9.0)
    fleet.run(0.5)
    for runner in fleet.runners.values():
        runner.loses_stops = True
    fleet.cancel("e0", "job")
    fleet.run(fleet.times.session_expiry)
    assert running(fleet, "job") == 0


def test_state_of_a_job(fleet: Fleet) -> None:
    dispatcher = fleet.dispatchers["e0"]
    assert dispatcher.job_state("job") is None
    fleet.submit("e0", "job", count=3, length=2.0, processor=8000, deadline=9.0)
    fleet.submit("e0", "next", count=3, length=1.0, processor=8000, deadline=9.0)
    fleet.run(0.3)
    assert dispatcher.job_state("job") is JobState.RUNNING
    assert dispatcher.job_state("next") is JobState.QUEUED
    fleet.cancel("e1", "next")
    assert dispatcher.job_state("next") is JobState.CANCELLED


def test_cancelled_job_is_forgotten_after_its_retention() -> None:
    cancelled = CancelledJobs()
    assert cancelled.add(5.0, CancelledJob("job"))
    cancelled.expire(4.9 + RETENTION_SECONDS)
    assert "job" in cancelled
    cancelled.expire(5.0 + RETENTION_SECONDS)
    assert "job" not in cancelled


def test_each_cancelled_job_is_forgotten_at_its_own_time() -> None:
    cancelled = CancelledJobs()
    for key, ago_ms in [("middle", 20_000), ("first", 40_000), ("last", 0)]:
        cancelled.add(50.0, CancelledJob(key, ago_ms))
    left = []
    for now in (69.0, 70.0, 90.0, 110.0):
        cancelled.expire(now)
        left.append([job.key for job in cancelled.export(now)])
    assert left == [["middle", "first", "last"], ["middle", "last"], ["last"], []]


def test_entries_that_tell_each_other_do_not_prolong_the_retention() -> None:
    first, second = CancelledJobs(), CancelledJobs()
    first.add(5.0, CancelledJob("job"))
    for job in first.export(35.0):
        second.add(1035.0, job)
    assert second.export(1045.0) == [CancelledJob("job", 40_000)]
    for job in second.export(1045.0):
        assert not first.add(45.0, job)
    first.expire(5.0 + RETENTION_SECONDS)
    for job in second.export(1000.0 + 5.0 + RETENTION_SECONDS):
        assert not first.add(5.0 + RETENTION_SECONDS, job)


def test_oldest_cancelled_job_is_forgotten_beyond_the_maximum(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(cancellations, "MAX_CANCELLED", 2)
    cancelled = CancelledJobs()
    for key in ("a", "b", "c"):
        cancelled.add(1.0, CancelledJob(key))
    assert [key for key in ("a", "b", "c") if key in cancelled] == ["b", "c"]


@pytest.fixture
def pending() -> PendingCancellations:
    """Return a request of caller 7 that two entries have to confirm."""
    pending = PendingCancellations()
    assert pending.begin(1.0, 7, "job", {"e1", "e2"}) == []
    return pending


def test_cancellation_is_answered_once_the_holder_confirms(pending: PendingCancellations) -> None:
    assert pending.confirmed("e1", "job", held=True) == [
        CancelAnswer(7, "job", CancelResult.CANCELLED)
    ]
    assert pending.confirmed("e2", "job", held=False) == []


def test_job_is_unknown_once_all_entries_confirm(pending: PendingCancellations) -> None:
    assert pending.confirmed("e1", "other", held=True) == []
    assert pending.confirmed("e1", "job", held=False) == []
    assert pending.confirmed("e1", "job", held=False) == []
    assert pending.confirmed("e2", "job", held=False) == [
        CancelAnswer(7, "job", CancelResult.UNKNOWN_JOB)
    ]


def test_cancellation_that_an_entry_does_not_confirm_is_not_acknowledged(
    pending: PendingCancellations,
) -> None:
    pending.confirmed("e1", "job", held=False)
    assert pending.expire(1.0 + CONFIRMATION_SECONDS - 0.01) == []
    assert pending.expire(1.0 + CONFIRMATION_SECONDS) == [
        CancelAnswer(7, "job", CancelResult.UNCONFIRMED)
    ]
    assert not pending


def test_stopping_entry_answers_what_is_not_confirmed(pending: PendingCancellations) -> None:
    assert pending.finish() == [CancelAnswer(7, "job", CancelResult.UNCONFIRMED)]


def test_caller_that_left_is_not_answered(pending: PendingCancellations) -> None:
    pending.caller_left(7)
    assert pending.confirmed("e1", "job", held=True) == []


def test_only_entry_answers_at_once() -> None:
    assert PendingCancellations().begin(1.0, 7, "job", set()) == [
        CancelAnswer(7, "job", CancelResult.UNKNOWN_JOB)
    ]

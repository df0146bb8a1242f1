"""The soak's checker bites: each rule is found broken when it is."""

import pytest
from record import CRASHED, DIED, FAILED, Record, RunSeen


def run(number: int, began: float, runner: str = "r1", *, job: str = "job") -> RunSeen:
    """Return a run of a second's work under a lease of two."""
    return RunSeen(f"{job}.0.0.0", number, runner, began, began + 2.0, began + 1.0)


@pytest.fixture
def record() -> Record:
    """A record with one job of one task, sent once."""
    record = Record()
    record.sent("job", 1, "e0", 0.0)
    return record


def rules(record: Record) -> list[str]:
    return [violation.rule for violation in record.finish()]


@pytest.mark.parametrize(
    ("second", "broken"),
    [
        pytest.param(1.5, ["TWICE"], id="at work"),
        pytest.param(2.0, [], id="done by then, though not noted yet"),
    ],
)
def test_two_runs_at_once_are_found(record: Record, second: float, broken: list[str]) -> None:
    record.started(run(1, 1.0))
    record.started(run(2, second, "r2"))
    assert rules(record) == broken


def test_a_run_whose_lease_is_over_is_at_work_no_more(record: Record) -> None:
    first = run(1, 1.0)
    first.lease_end = 1.3
    record.started(first)
    record.started(run(2, 1.4, "r2"))
    assert rules(record) == []


def test_a_start_that_nobody_asked_for_is_found(record: Record) -> None:
    record.started(run(1, 1.0, job="other"))
    assert rules(record) == ["UNASKED"]


@pytest.mark.parametrize(
    ("began", "length", "broken"),
    [
        pytest.param(1.0, 4.9, [], id="gone in time"),
        pytest.param(1.0, 5.1, ["UNASKED"], id="still at work"),
        pytest.param(4.0, 2.9, [], id="late, gone in time"),
        pytest.param(4.0, 3.1, ["UNASKED"], id="late, still at work"),
    ],
)
@pytest.mark.parametrize("stopped", [True, False])
def test_a_run_that_outlives_its_caller_is_found(
    record: Record, began: float, length: float, broken: list[str], stopped: bool
) -> None:
    seen = record.tries["job"][0]
    seen.outcome, seen.ended = "left", 3.0
    run_ = RunSeen("job.0.0.0", 1, "r1", began, began + 9.0, began + length)
    if stopped:
        run_.end, run_.due = began + length, began + 9.0
    record.started(run_)
    assert rules(record) == broken


def test_a_start_of_a_job_whose_every_try_was_refused_is_found(record: Record) -> None:
    record.tries["job"][0].outcome = "refused"
    record.started(run(1, 1.0))
    assert rules(record) == ["REFUSED"]


def test_an_answer_before_all_tasks_were_done_is_found(record: Record) -> None:
    record.tries["job"][0].outcome = "completed"
    record.started(run(1, 1.0))
    assert rules(record) == ["PARTIAL"]


def test_a_runner_over_its_capacity_is_found(record: Record) -> None:
    record.over_capacity("r1", 1.0, 9000, 8000)
    assert rules(record) == ["LIMIT"]


def test_a_process_that_ends_by_itself_is_found(record: Record) -> None:
    record.ended("t0", 1)
    assert rules(record) == ["ENDED"]


def test_a_configuration_that_goes_back_within_a_life_is_found(record: Record) -> None:
    record.version_seen("e0", "first", 4)
    record.version_seen("e0", "second", 3)
    record.version_seen("e0", "first", 3)
    assert rules(record) == ["CONFIG"]


@pytest.mark.parametrize(
    ("hall", "began", "broken"),
    [("hall", 6.1, ["EVAC"]), ("hall", 5.9, []), ("annex", 6.1, [])],
    ids=["after the bound", "within it", "elsewhere"],
)
def test_a_start_in_an_evacuated_hall_is_found(
    record: Record, hall: str, began: float, broken: list[str]
) -> None:
    record.halls["r1"] = hall
    record.evacuated("hall", 1.0)
    record.started(run(1, began))
    assert rules(record) == broken


def test_a_start_after_an_evacuation_was_taken_back_breaks_nothing(record: Record) -> None:
    record.halls["r1"] = "hall"
    record.evacuated("hall", 1.0)
    record.taken_back("hall")
    record.started(run(1, 9.0))
    assert rules(record) == []


def ended(number: int, how: str, end: float = 2.0, *, index: int = 0) -> RunSeen:
    """Return a run that has ended."""
    run_ = RunSeen(f"job.0.0.{index}", number, f"r{number}", 1.0, 3.0, 3.0)
    run_.end, run_.how = end, how
    return run_


@pytest.mark.parametrize(
    ("runs", "broken"),
    [
        pytest.param([], ["LOST"], id="nothing ran"),
        pytest.param([ended(n, FAILED) for n in (1, 2)], ["LOST"], id="two failures"),
        pytest.param([ended(n, FAILED) for n in (1, 2, 3)], [], id="all attempts failed"),
        pytest.param(
            [ended(n, FAILED, index=n) for n in (1, 2, 3)], ["LOST"], id="failures of three tasks"
        ),
        pytest.param([ended(n, "lapsed") for n in range(1, 9)], ["LOST"], id="lapsed runs"),
        pytest.param([ended(1, CRASHED)], ["LOST"], id="one crash"),
        pytest.param([ended(1, CRASHED), ended(2, DIED)], ["LOST"], id="two ended lives"),
        pytest.param(
            [ended(1, CRASHED), ended(2, "lapsed")], ["LOST"], id="a crash and a lapsed run"
        ),
        pytest.param(
            [ended(1, DIED), ended(2, DIED, index=1)], ["LOST"], id="under two of its tasks"
        ),
        pytest.param(
            [ended(n, FAILED, end=4.1 if n == 3 else 2.0) for n in (1, 2, 3)],
            ["LOST"],
            id="the last failure after the answer",
        ),
    ],
)
def test_a_job_shown_as_failed_without_its_cause_is_found(
    record: Record, runs: list[RunSeen], broken: list[str]
) -> None:
    record.tasks["job"] = 4
    seen = record.tries["job"][0]
    seen.outcome, seen.ended = "failed", 4.0
    for run_ in runs:
        record.runs.setdefault(run_.task, []).append(run_)
    assert rules(record) == broken

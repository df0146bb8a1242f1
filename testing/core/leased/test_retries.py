"""When a job is given up for what its tasks have cost so far."""

import pytest
from paddleshunt_core.leased.catalog import Queue
from paddleshunt_core.leased.jobs import JobRecord, JobRequest, TaskPhase, new_job
from paddleshunt_core.leased.outcomes import Failed
from paddleshunt_core.leased.resources import Resources
from paddleshunt_core.leased.retries import (
    CRASHES,
    LOST_RUNNERS,
    LOST_RUNS,
    MOST_RETRIES,
    RETRIES,
    Retries,
)
from paddleshunt_core.leased.wire import LossId, RunnerLost, RunnerReturned, RunnerSilent

QUEUE = Queue("q", "host", "/q/", "svc")


@pytest.fixture
def job() -> JobRecord:
    return new_job(1, JobRequest("job", "spec", 2, Resources(1000), 0.4, 4.0), QUEUE, 0.0)


def loss(number: int, job: JobRecord) -> RunnerLost:
    return RunnerLost(LossId(f"i-{number}", number), [job.tasks[1].id])


@pytest.mark.parametrize("runners", range(LOST_RUNNERS + 1))
def test_a_job_is_given_up_once_enough_runners_were_lost_under_a_task(
    runners: int, job: JobRecord
) -> None:
    retries = Retries()
    for number in range(runners):
        retries.learn(1.0, loss(number, job), "t")
    given_up = Failed(CRASHES) if runners >= LOST_RUNNERS else None
    assert retries.outcome(job) == given_up


@pytest.mark.parametrize(
    ("runners", "outcome"), [(0, None), (1, Failed(CRASHES))], ids=["none_seen", "one_seen"]
)
def test_losses_of_which_no_target_told_count_beside_one_that_was_seen(
    runners: int, outcome: Failed | None, job: JobRecord
) -> None:
    retries = Retries()
    job.tasks[1].losses = LOST_RUNS
    for number in range(runners):
        retries.learn(1.0, loss(number, job), "t")
    assert retries.outcome(job) == outcome


def test_a_runner_that_is_only_silent_counts_for_nothing(job: JobRecord) -> None:
    retries = Retries()
    for number in range(LOST_RUNNERS):
        silent = RunnerSilent(LossId(f"i-{number}", number), [job.tasks[1].id], ["q"], [10])
        assert retries.learn(1.0, silent, "t") == []
    assert retries.outcome(job) is None


def test_each_way_back_counts_against_one_bound(job: JobRecord) -> None:
    retries = Retries()
    job.tasks[0].retries = MOST_RETRIES - 1
    assert retries.outcome(job) is None
    job.tasks[0].retries = MOST_RETRIES
    assert retries.outcome(job) == Failed(RETRIES)


def test_a_runner_that_answers_again_gives_the_job_its_try_back(job: JobRecord) -> None:
    retries = Retries()
    for number in range(LOST_RUNNERS):
        retries.learn(1.0, loss(number, job), "t")
    assert retries.learn(1.1, RunnerReturned(LossId("i-0", 0)), "t")
    assert retries.outcome(job) is None


def test_a_task_that_has_ended_well_is_held_against_nobody(job: JobRecord) -> None:
    """A loss under an earlier run of it may be told late, as it happened behind a cut."""
    retries = Retries()
    job.tasks[1].phase = TaskPhase.DONE
    for number in range(LOST_RUNNERS):
        retries.learn(1.0, loss(number, job), "t")
    assert retries.outcome(job) is None


def test_the_line_names_the_runners_that_the_task_took_down(job: JobRecord) -> None:
    retries = Retries()
    for number in range(LOST_RUNNERS):
        retries.learn(1.0, loss(number, job), "t")
    outcome = retries.outcome(job)
    assert outcome is not None
    line = retries.note_given_up(job, outcome)
    assert (line.event, line.submission) == ("job_given_up", "job")
    assert line.fields["index"] == 1
    assert line.fields["runners"] == "i-0,i-1"

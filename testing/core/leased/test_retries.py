"""Limits of retries after which a job is given up."""

from collections.abc import Callable

import pytest
from msgspec.structs import replace
from paddleshunt_core.leased.catalog import Queue
from paddleshunt_core.leased.jobs import JobRecord, JobRequest, TaskPhase, new_job
from paddleshunt_core.leased.losses import RETENTION_SECONDS
from paddleshunt_core.leased.outcomes import GivenUp
from paddleshunt_core.leased.resources import Resources
from paddleshunt_core.leased.retries import (
    ENDED_RUNNERS,
    LOST_SESSIONS,
    MAX_LOST_RUNNERS,
    MAX_LOST_RUNS,
    MAX_RETRIES,
    RETRIES,
    SILENT_RUNNERS,
    Retries,
)
from paddleshunt_core.leased.wire import LossId, RunnerLost, RunnerReturned, RunnerSilent, TaskId

QUEUE = Queue("q", "host", "/q/", "svc")
MakeUpdate = Callable[[int, JobRecord], RunnerLost]


@pytest.fixture
def job() -> JobRecord:
    return new_job(1, JobRequest("job", "spec", 2, Resources(1000), 0.4, 4.0), QUEUE, 0.0)


def silent(number: int, job: JobRecord) -> RunnerLost:
    """Return the loss of a runner that may still be running."""
    return RunnerLost(LossId(f"i-{number}", number), [job.tasks[1].id])


def ended(number: int, job: JobRecord) -> RunnerLost:
    """Return the loss of a runner whose incarnation is known to have ended."""
    return replace(silent(number, job), ended=[job.tasks[1].id])


@pytest.mark.parametrize("runners", range(MAX_LOST_RUNNERS + 1))
@pytest.mark.parametrize(
    ("make_update", "given_up"),
    [(silent, GivenUp(SILENT_RUNNERS)), (ended, GivenUp(ENDED_RUNNERS))],
)
def test_a_job_is_given_up_once_enough_runners_were_lost_while_running_a_task(
    make_update: MakeUpdate, given_up: GivenUp, runners: int, job: JobRecord
) -> None:
    """It is not failed: its runs may have succeeded before their runners were lost."""
    retries = Retries()
    for number in range(runners):
        retries.learn(1.0, make_update(number, job), "t")
    assert retries.outcome(5.0, job) == (given_up if runners >= MAX_LOST_RUNNERS else None)


@pytest.mark.parametrize("last", [silent, ended])
def test_a_job_with_a_silent_and_an_ended_runner_is_given_up_for_silent_runners(
    last: MakeUpdate, job: JobRecord
) -> None:
    retries = Retries()
    retries.learn(1.0, ended(0, job), "t")
    retries.learn(1.0, silent(1, job), "t")
    assert retries.outcome(5.0, job) == GivenUp(SILENT_RUNNERS)
    retries.learn(4.0, last(1, job), "t")
    known = GivenUp(ENDED_RUNNERS) if last is ended else GivenUp(SILENT_RUNNERS)
    assert retries.outcome(5.0, job) == known


@pytest.mark.parametrize(
    ("runners", "sessions", "outcome"),
    [
        pytest.param(0, MAX_LOST_RUNS, None, id="no_runner"),
        pytest.param(1, MAX_LOST_RUNS - 2, None, id="too_few"),
        pytest.param(1, MAX_LOST_RUNS - 1, GivenUp(LOST_SESSIONS), id="one_runner"),
    ],
)
def test_lost_sessions_count_only_together_with_a_lost_runner(
    runners: int, sessions: int, outcome: GivenUp | None, job: JobRecord
) -> None:
    retries = Retries()
    job.tasks[1].losses = sessions
    for number in range(runners):
        retries.learn(1.0, silent(number, job), "t")
    assert retries.outcome(5.0, job) == outcome


def test_runner_silent_messages_do_not_count(job: JobRecord) -> None:
    retries = Retries()
    for number in range(MAX_LOST_RUNNERS):
        update = RunnerSilent(LossId(f"i-{number}", number), [job.tasks[1].id], ["q"], [10])
        assert retries.learn(1.0, update, "t") == []
    assert retries.outcome(5.0, job) is None


def test_a_job_is_given_up_after_the_maximum_of_retries(job: JobRecord) -> None:
    retries = Retries()
    job.tasks[0].retries = MAX_RETRIES - 1
    assert retries.outcome(5.0, job) is None
    job.tasks[0].retries = MAX_RETRIES
    assert retries.outcome(5.0, job) == GivenUp(RETRIES)


def test_a_runner_that_returns_no_longer_counts_as_lost(job: JobRecord) -> None:
    retries = Retries()
    for number in range(MAX_LOST_RUNNERS):
        retries.learn(1.0, silent(number, job), "t")
    assert retries.learn(1.1, RunnerReturned(LossId("i-0", 0)), "t")
    assert retries.outcome(5.0, job) is None


def test_losses_during_a_task_that_is_done_do_not_count(job: JobRecord) -> None:
    """A network partition may delay the message on a loss during an earlier run of it."""
    retries = Retries()
    job.tasks[1].phase = TaskPhase.DONE
    for number in range(MAX_LOST_RUNNERS):
        retries.learn(1.0, silent(number, job), "t")
    assert retries.outcome(5.0, job) is None


def test_the_log_line_names_the_runners_lost_while_running_the_task(job: JobRecord) -> None:
    retries = Retries()
    for number in range(MAX_LOST_RUNNERS):
        retries.learn(1.0, silent(number, job), "t")
    outcome = retries.outcome(5.0, job)
    assert outcome is not None
    line = retries.given_up_log(job, outcome)
    assert (line.event, line.submission) == ("job_given_up", "job")
    assert line.fields["index"] == 1
    assert line.fields["runners"] == "i-0,i-1"
    assert line.fields["ended"] == ""


@pytest.mark.parametrize("losses", range(MAX_LOST_RUNNERS, MAX_LOST_RUNNERS + 2))
@pytest.mark.parametrize(
    ("beside", "shared"),
    [
        pytest.param([], 0, id="alone"),
        pytest.param(["other"], 0, id="beside_one"),
        pytest.param(["other", "another"], 1, id="beside_two"),
        pytest.param(["job", "other"], 0, id="beside_one_of_its_own"),
    ],
)
def test_only_one_loss_that_is_correlated_with_others_is_excused(
    beside: list[str], shared: int, losses: int, job: JobRecord
) -> None:
    retries = Retries()
    for number in range(losses):
        for each, key in enumerate(beside):
            other = RunnerLost(LossId(f"j-{number}-{each}", 1), [TaskId(key, 0, 0)])
            retries.learn(1.0 + number, other, "t")
        retries.learn(1.1 + number, silent(number, job), "t")
    given_up = GivenUp(SILENT_RUNNERS) if losses - shared >= MAX_LOST_RUNNERS else None
    assert retries.outcome(5.0, job) == given_up


def test_a_loss_stops_counting_when_it_expires(job: JobRecord) -> None:
    """It expires by time, without a further message."""
    retries = Retries()
    for number in range(MAX_LOST_RUNNERS):
        retries.learn(1.0, silent(number, job), "t")
    assert retries.outcome(0.9 + RETENTION_SECONDS, job) == GivenUp(SILENT_RUNNERS)
    assert retries.outcome(1.0 + RETENTION_SECONDS, job) is None


@pytest.mark.parametrize(
    ("make_update", "kept"), [(silent, False), (ended, True)], ids=["silent", "ended"]
)
def test_ended_runners_are_remembered_while_their_job_is_resubmitted(
    make_update: MakeUpdate, kept: bool, job: JobRecord
) -> None:
    retries = Retries()
    for number in range(MAX_LOST_RUNNERS):
        retries.learn(1.0, make_update(number, job), "t")
    assert retries.outcome_on_submit(50.0, job) is not None
    assert (retries.outcome_on_submit(70.0, job) is not None) == kept

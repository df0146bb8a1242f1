"""When a job is given up for what its tasks have cost so far."""

from collections.abc import Callable

import pytest
from msgspec.structs import replace
from paddleshunt_core.leased.catalog import Queue
from paddleshunt_core.leased.jobs import JobRecord, JobRequest, TaskPhase, new_job
from paddleshunt_core.leased.losses import KEEP_SECONDS
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
Word = Callable[[int, JobRecord], RunnerLost]


@pytest.fixture
def job() -> JobRecord:
    return new_job(1, JobRequest("job", "spec", 2, Resources(1000), 0.4, 4.0), QUEUE, 0.0)


def loss(number: int, job: JobRecord) -> RunnerLost:
    return RunnerLost(LossId(f"i-{number}", number), [job.tasks[1].id])


def end(number: int, job: JobRecord) -> RunnerLost:
    return replace(loss(number, job), ended=[job.tasks[1].id])


@pytest.mark.parametrize("runners", range(MAX_LOST_RUNNERS + 1))
@pytest.mark.parametrize(
    ("word", "given_up"), [(loss, GivenUp(SILENT_RUNNERS)), (end, GivenUp(ENDED_RUNNERS))]
)
def test_a_job_is_given_up_once_enough_runners_were_lost_under_a_task(
    word: Word, given_up: GivenUp, runners: int, job: JobRecord
) -> None:
    """What became of its run on one that has ended nobody knows either: it has not failed."""
    retries = Retries()
    for number in range(runners):
        retries.learn(1.0, word(number, job), "t")
    assert retries.outcome(5.0, job) == (given_up if runners >= MAX_LOST_RUNNERS else None)


@pytest.mark.parametrize("last", [loss, end])
def test_a_silent_runner_beside_one_that_ended_leaves_the_outcome_unknown(
    last: Word, job: JobRecord
) -> None:
    retries = Retries()
    retries.learn(1.0, end(0, job), "t")
    retries.learn(1.0, loss(1, job), "t")
    assert retries.outcome(5.0, job) == GivenUp(SILENT_RUNNERS)
    retries.learn(4.0, last(1, job), "t")
    known = GivenUp(ENDED_RUNNERS) if last is end else GivenUp(SILENT_RUNNERS)
    assert retries.outcome(5.0, job) == known


@pytest.mark.parametrize(
    ("runners", "sessions", "outcome"),
    [
        pytest.param(0, MAX_LOST_RUNS, None, id="no_runner"),
        pytest.param(1, MAX_LOST_RUNS - 2, None, id="too_few"),
        pytest.param(1, MAX_LOST_RUNS - 1, GivenUp(LOST_SESSIONS), id="one_runner"),
    ],
)
def test_lost_sessions_count_beside_a_runner_that_was_seen_lost(
    runners: int, sessions: int, outcome: GivenUp | None, job: JobRecord
) -> None:
    retries = Retries()
    job.tasks[1].losses = sessions
    for number in range(runners):
        retries.learn(1.0, loss(number, job), "t")
    assert retries.outcome(5.0, job) == outcome


def test_a_runner_that_is_only_silent_counts_for_nothing(job: JobRecord) -> None:
    retries = Retries()
    for number in range(MAX_LOST_RUNNERS):
        silent = RunnerSilent(LossId(f"i-{number}", number), [job.tasks[1].id], ["q"], [10])
        assert retries.learn(1.0, silent, "t") == []
    assert retries.outcome(5.0, job) is None


def test_each_way_back_counts_against_one_bound(job: JobRecord) -> None:
    retries = Retries()
    job.tasks[0].retries = MAX_RETRIES - 1
    assert retries.outcome(5.0, job) is None
    job.tasks[0].retries = MAX_RETRIES
    assert retries.outcome(5.0, job) == GivenUp(RETRIES)


def test_a_runner_that_answers_again_gives_the_job_its_try_back(job: JobRecord) -> None:
    retries = Retries()
    for number in range(MAX_LOST_RUNNERS):
        retries.learn(1.0, loss(number, job), "t")
    assert retries.learn(1.1, RunnerReturned(LossId("i-0", 0)), "t")
    assert retries.outcome(5.0, job) is None


def test_a_task_that_has_ended_well_is_held_against_nobody(job: JobRecord) -> None:
    """A loss under an earlier run of it may be told late, as it happened behind a cut."""
    retries = Retries()
    job.tasks[1].phase = TaskPhase.DONE
    for number in range(MAX_LOST_RUNNERS):
        retries.learn(1.0, loss(number, job), "t")
    assert retries.outcome(5.0, job) is None


def test_the_line_names_the_runners_that_the_task_took_down(job: JobRecord) -> None:
    retries = Retries()
    for number in range(MAX_LOST_RUNNERS):
        retries.learn(1.0, loss(number, job), "t")
    outcome = retries.outcome(5.0, job)
    assert outcome is not None
    line = retries.note_given_up(job, outcome)
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
def test_one_loss_beside_others_is_not_held_against_a_task(
    beside: list[str], shared: int, losses: int, job: JobRecord
) -> None:
    """Whatever else is lost beside it, the second such loss counts."""
    retries = Retries()
    for number in range(losses):
        for each, key in enumerate(beside):
            other = RunnerLost(LossId(f"j-{number}-{each}", 1), [TaskId(key, 0, 0)])
            retries.learn(1.0 + number, other, "t")
        retries.learn(1.1 + number, loss(number, job), "t")
    given_up = GivenUp(SILENT_RUNNERS) if losses - shared >= MAX_LOST_RUNNERS else None
    assert retries.outcome(5.0, job) == given_up


def test_a_loss_counts_no_longer_than_it_is_remembered(job: JobRecord) -> None:
    """Also where no further word comes."""
    retries = Retries()
    for number in range(MAX_LOST_RUNNERS):
        retries.learn(1.0, loss(number, job), "t")
    assert retries.outcome(0.9 + KEEP_SECONDS, job) == GivenUp(SILENT_RUNNERS)
    assert retries.outcome(1.0 + KEEP_SECONDS, job) is None


@pytest.mark.parametrize(("word", "kept"), [(loss, False), (end, True)], ids=["silent", "ended"])
def test_lives_that_ended_are_remembered_while_their_job_is_handed_in(
    word: Word, kept: bool, job: JobRecord
) -> None:
    retries = Retries()
    for number in range(MAX_LOST_RUNNERS):
        retries.learn(1.0, word(number, job), "t")
    assert retries.handed_in(50.0, job) is not None
    assert (retries.handed_in(70.0, job) is not None) == kept

import pytest
from paddleshunt_core.job import Job
from paddleshunt_core.outcomes import Complete, Failed, NotRun, Outcome, Unknown


@pytest.fixture
def job() -> Job:
    return Job("s", "results", b"", False, 10.0, [b"a", b"b"], {})


def settled_outcome(job: Job, *, at_deadline: bool = False) -> Outcome | None:
    return job.settled_outcome(at_deadline=at_deadline, retry_after_ms=5)


def test_complete_only_when_all_tasks_have_ended(job: Job) -> None:
    job.finish(job.assign_next(), ok=True, payload=b"A")
    assert settled_outcome(job) is None
    job.finish(job.assign_next(), ok=True, payload=b"B")
    assert settled_outcome(job) == Complete([b"A", b"B"])


def test_failure_lists_failed_and_unstarted_tasks(job: Job) -> None:
    job.finish(job.assign_next(), ok=False, payload=b"no")
    assert settled_outcome(job) == Failed("task 0: no", [0], [], [1])


def test_stopped_before_any_start_is_not_run(job: Job) -> None:
    job.put_back(job.assign_next())
    job.stop("deadline")
    assert settled_outcome(job) == NotRun("deadline", 5)


def test_stopped_with_a_task_that_may_have_started(job: Job) -> None:
    job.assign_next()
    job.stop("deadline")
    assert settled_outcome(job) is None
    assert isinstance(settled_outcome(job, at_deadline=True), Unknown)


def test_stopped_with_a_running_task(job: Job) -> None:
    job.confirm_started(job.assign_next())
    job.stop("deadline")
    assert settled_outcome(job) is None
    assert settled_outcome(job, at_deadline=True) == Failed("deadline", [], [], [1])


def test_lost_task_is_unknown_whatever_else_failed(job: Job) -> None:
    job.finish(job.assign_next(), ok=False, payload=b"no")
    job.mark_lost(job.assign_next(), "gone")
    assert isinstance(settled_outcome(job), Unknown)

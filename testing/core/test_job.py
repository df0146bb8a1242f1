import pytest
from paddleshunt_core.job import Job
from paddleshunt_core.outcomes import Complete, Failed, NotRun, Outcome, Unknown


@pytest.fixture
def job() -> Job:
    return Job("s", "results", b"", False, 10.0, [b"a", b"b"], {})


def verdict(job: Job, *, final_call: bool = False) -> Outcome | None:
    return job.verdict(final_call=final_call, retry_after_ms=5)


def test_complete_only_when_all_have_ended(job: Job) -> None:
    job.finish(job.take(), ok=True, payload=b"A")
    assert verdict(job) is None
    job.finish(job.take(), ok=True, payload=b"B")
    assert verdict(job) == Complete([b"A", b"B"])


def test_failure_lists_what_ran_and_what_did_not(job: Job) -> None:
    job.finish(job.take(), ok=False, payload=b"no")
    assert verdict(job) == Failed("task 0: no", [0], [], [1])


def test_stopped_before_any_start_is_not_run(job: Job) -> None:
    job.put_back(job.take())
    job.stop("deadline")
    assert verdict(job) == NotRun("deadline", 5)


def test_stopped_with_a_task_that_may_have_started(job: Job) -> None:
    job.take()
    job.stop("deadline")
    assert verdict(job) is None
    assert isinstance(verdict(job, final_call=True), Unknown)


def test_stopped_with_a_task_that_runs(job: Job) -> None:
    job.confirm_started(job.take())
    job.stop("deadline")
    assert verdict(job) is None
    assert verdict(job, final_call=True) == Failed("deadline", [], [], [1])


def test_lost_task_is_unknown_whatever_else_failed(job: Job) -> None:
    job.finish(job.take(), ok=False, payload=b"no")
    job.lose(job.take(), "gone")
    assert isinstance(verdict(job), Unknown)

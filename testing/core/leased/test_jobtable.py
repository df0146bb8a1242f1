"""Jobs by caller and key, and tasks by run."""

import pytest
from paddleshunt_core.leased.catalog import Queue
from paddleshunt_core.leased.jobs import JobRecord, JobRequest, TaskPhase, new_job
from paddleshunt_core.leased.jobtable import MAX_REMEMBERED_JOBS, JobTable
from paddleshunt_core.leased.resources import Resources
from paddleshunt_core.leased.wire import RunId, TaskId

QUEUE = Queue("q", "host", "/q/", "svc")
RUN = RunId(TaskId("job", 0, 1), 3)


@pytest.fixture
def job() -> JobRecord:
    record = new_job(7, JobRequest("job", "spec", 2, Resources(1000, 64), 0.5, 4.0), QUEUE, 1.0)
    task = record.tasks[1]
    task.number, task.target, task.phase = 3, "t0", TaskPhase.PLACED
    return record


@pytest.fixture
def book(job: JobRecord) -> JobTable:
    book = JobTable()
    book.add(job)
    return book


def test_a_job_is_found_by_caller_and_key_until_it_is_dropped(
    book: JobTable, job: JobRecord
) -> None:
    assert book.of_caller(7) is book.of_key("job") is job
    book.drop(job)
    assert len(book) == 0
    assert book.of_caller(7) is book.of_key("job") is None


@pytest.mark.parametrize("index", [-1, -2, 2, 2**63, -(2**63)])
def test_a_run_of_a_task_that_the_job_does_not_have_is_none(book: JobTable, index: int) -> None:
    run = RunId(TaskId("job", 0, index), 3)
    assert book.task(run, "t0") is None
    assert book.run_again([run], "t0", "lost") == []


def test_a_job_that_is_handed_over_is_its_new_callers(book: JobTable, job: JobRecord) -> None:
    assert book.hand_over(job, 8) == 7
    assert book.of_caller(7) is None
    assert book.of_caller(8) is job


@pytest.mark.parametrize(
    ("run", "target"),
    [
        (RunId(TaskId("job", 0, 1), 2), "t0"),
        (RUN, "t1"),
        (RunId(TaskId("other", 0, 1), 3), "t0"),
    ],
    ids=["an earlier run", "another target", "another job"],
)
def test_only_the_newest_run_at_its_own_target_names_a_task(
    book: JobTable, job: JobRecord, run: RunId, target: str
) -> None:
    assert book.task(RUN, "t0") is job.tasks[1]
    assert book.task(run, target) is None


def test_tasks_that_are_held_wait_again_once_their_runs_are_over(
    book: JobTable, job: JobRecord
) -> None:
    book.hold([RUN], "t0")
    assert job.tasks[1].phase is TaskPhase.HELD
    (log,) = book.run_again([RUN], "t0", "lease_lapsed")
    assert (log.event, log.fields["end"]) == ("task_returned", "lease_lapsed")
    assert (job.tasks[1].phase, job.tasks[1].ran) == (TaskPhase.WAITING, True)


def test_a_task_that_is_done_does_not_wait_again(book: JobTable, job: JobRecord) -> None:
    job.tasks[1].phase = TaskPhase.DONE
    assert book.run_again([RUN], "t0", "lease_lapsed") == []
    assert job.tasks[1].phase is TaskPhase.DONE


def test_a_job_that_comes_again_goes_on_counting_its_runs(book: JobTable, job: JobRecord) -> None:
    """A late word on a run of the first try must not be taken for one on the second's."""
    book.drop(job)
    again = new_job(9, job.request, QUEUE, 2.0)
    book.add(again)
    assert [task.number for task in again.tasks] == [0, 3]
    task = again.tasks[1]
    task.number += 1
    task.target, task.phase = "t0", TaskPhase.PLACED
    assert book.task(RUN, "t0") is None
    assert book.task(RunId(RUN.task, 4), "t0") is task


def test_no_more_dropped_jobs_are_remembered_than_the_limit(book: JobTable) -> None:
    for number in range(MAX_REMEMBERED_JOBS + 2):
        request = JobRequest(f"j{number}", "spec", 1, Resources(1000, 64), 0.5, 4.0)
        other = new_job(100 + number, request, QUEUE, 1.0)
        book.add(other)
        other.tasks[0].number = 5
        book.drop(other)
    first = new_job(1, JobRequest("j0", "spec", 1, Resources(1000, 64), 0.5, 4.0), QUEUE, 2.0)
    book.add(first)
    assert first.tasks[0].number == 0

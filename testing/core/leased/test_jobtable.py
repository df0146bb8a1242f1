"""Lookup of jobs by caller and key, and of tasks by run."""

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
def table(job: JobRecord) -> JobTable:
    table = JobTable()
    table.add(job)
    return table


def test_a_job_is_found_by_caller_and_key_until_it_is_dropped(
    table: JobTable, job: JobRecord
) -> None:
    assert table.by_caller(7) is table.by_key("job") is job
    table.drop(job)
    assert len(table) == 0
    assert table.by_caller(7) is table.by_key("job") is None


@pytest.mark.parametrize("index", [-1, -2, 2, 2**63, -(2**63)])
def test_a_run_with_an_index_out_of_range_has_no_task(table: JobTable, index: int) -> None:
    run = RunId(TaskId("job", 0, index), 3)
    assert table.task(run, "t0") is None
    assert table.requeue([run], "t0", "lost") == []


def test_a_job_that_is_handed_over_belongs_to_its_new_caller(
    table: JobTable, job: JobRecord
) -> None:
    assert table.hand_over(job, 8) == 7
    assert table.by_caller(7) is None
    assert table.by_caller(8) is job


@pytest.mark.parametrize(
    ("run", "target"),
    [
        (RunId(TaskId("job", 0, 1), 2), "t0"),
        (RUN, "t1"),
        (RunId(TaskId("other", 0, 1), 3), "t0"),
    ],
    ids=["an earlier run", "another target", "another job"],
)
def test_only_the_newest_run_at_its_own_target_has_a_task(
    table: JobTable, job: JobRecord, run: RunId, target: str
) -> None:
    assert table.task(RUN, "t0") is job.tasks[1]
    assert table.task(run, target) is None


def test_held_tasks_return_to_waiting_once_their_runs_are_over(
    table: JobTable, job: JobRecord
) -> None:
    table.hold([RUN], "t0")
    assert job.tasks[1].phase is TaskPhase.HELD
    (log,) = table.requeue([RUN], "t0", "lease_lapsed")
    assert (log.event, log.fields["end"]) == ("task_returned", "lease_lapsed")
    assert (job.tasks[1].phase, job.tasks[1].ran) == (TaskPhase.WAITING, True)


def test_a_task_that_is_done_does_not_return_to_waiting(table: JobTable, job: JobRecord) -> None:
    job.tasks[1].phase = TaskPhase.DONE
    assert table.requeue([RUN], "t0", "lease_lapsed") == []
    assert job.tasks[1].phase is TaskPhase.DONE


def test_a_resubmitted_job_continues_its_run_numbers(table: JobTable, job: JobRecord) -> None:
    """A late message on a run of the first submission must not match a run of the second."""
    table.drop(job)
    again = new_job(9, job.request, QUEUE, 2.0)
    table.add(again)
    assert [task.number for task in again.tasks] == [0, 3]
    task = again.tasks[1]
    task.number += 1
    task.target, task.phase = "t0", TaskPhase.PLACED
    assert table.task(RUN, "t0") is None
    assert table.task(RunId(RUN.task, 4), "t0") is task


def test_the_oldest_dropped_jobs_are_forgotten_beyond_the_limit(table: JobTable) -> None:
    for number in range(MAX_REMEMBERED_JOBS + 2):
        request = JobRequest(f"j{number}", "spec", 1, Resources(1000, 64), 0.5, 4.0)
        other = new_job(100 + number, request, QUEUE, 1.0)
        table.add(other)
        other.tasks[0].number = 5
        table.drop(other)
    first = new_job(1, JobRequest("j0", "spec", 1, Resources(1000, 64), 0.5, 4.0), QUEUE, 2.0)
    table.add(first)
    assert first.tasks[0].number == 0

"""Which target a task goes to."""

from random import Random

import pytest
from paddleshunt_core.leased.catalog import Queue
from paddleshunt_core.leased.jobs import JobRecord, JobRequest, new_job
from paddleshunt_core.leased.placement import Placement
from paddleshunt_core.leased.resources import Resources
from paddleshunt_core.leased.targets import TargetRecord
from paddleshunt_core.leased.wire import Health, RunnerReport, RunnerState

QUEUE = Queue("q", "host", "/q/", "svc", stretch=1.6, latency=0.06)
NEED = Resources(1000, 10)
FREE = Resources(8000, 8000)
FULL = Resources(500, 8000)


def target(name: str, *labels: str, free: Resources = FREE) -> TargetRecord:
    record = TargetRecord(name, "hall", "1")
    record.report = RunnerReport("svc", name, RunnerState.READY, Health.GOOD, FREE, free, labels)
    return record


def job(rack: str = "", label: str = "", spread: int = 0, count: int = 2) -> JobRecord:
    request = JobRequest("key", "spec", count, NEED, 0.4, 3.0, rack, label, spread)
    return new_job(1, request, QUEUE, 10.0)


def chosen(now: float, asked: JobRecord, *targets: TargetRecord) -> str:
    """Return the name of the target that the job's first task goes to, or nothing."""
    placement = Placement("hall", Random(1), 1.5)
    able = placement.able(asked, list(targets))
    found = placement.choose(now, asked, asked.tasks[0], able) if able else None
    return found.name if found else ""


def test_a_task_runs_where_its_data_lies() -> None:
    busy = target("near", "a", "r1", free=Resources(2000, 8000))
    assert chosen(10.0, job(rack="r1"), target("far", "a", "r2"), busy) == "near"


@pytest.mark.parametrize(
    ("after", "expected"),
    [(0.0, ""), (0.1, "far"), (0.15, ""), (0.4, "far")],
    ids=["waits", "in-time-elsewhere", "in-time-only-there", "late-anyhow"],
)
def test_a_task_waits_for_room_near_its_data_while_that_serves_it(
    after: float, expected: str
) -> None:
    near = target("near", "r1", free=FULL)
    assert chosen(10.0 + after, job(rack="r1"), near, target("far", "r2")) == expected


def test_a_task_whose_rack_is_unknown_runs_anywhere() -> None:
    assert chosen(10.0, job(rack="r9"), target("far", "r2")) == "far"


def test_a_label_that_is_required_is_kept_to() -> None:
    assert chosen(10.0, job(label="b"), target("t1", "a"), target("t2", "b")) == "t2"
    assert chosen(10.0, job(label="b"), target("t1", "a")) == ""


def test_no_runner_gets_more_of_a_jobs_tasks_than_allowed() -> None:
    asked = job(spread=1)
    only = target("t1")
    assert chosen(10.0, asked, only) == "t1"
    asked.tasks[1].target = "t1"
    asked.tasks[1].phase = type(asked.tasks[1].phase).PLACED
    assert chosen(10.0, asked, only) == ""

"""Choice of a target for each task."""

from random import Random

import msgspec
import pytest
from paddleshunt_core.leased.bounds import Bounds, lease_times
from paddleshunt_core.leased.catalog import Queue
from paddleshunt_core.leased.jobs import JobRecord, JobRequest, TaskPhase, new_job
from paddleshunt_core.leased.placement import Placement
from paddleshunt_core.leased.resources import Resources
from paddleshunt_core.leased.session import Session
from paddleshunt_core.leased.targets import TargetRecord
from paddleshunt_core.leased.targetsnapshot import TargetSnapshot
from paddleshunt_core.leased.wire import Health, RunnerReport, RunnerState

QUEUE = Queue("q", "host", "/q/", "svc", stretch=1.6, latency=0.06)
NEED = Resources(1000, 10)
FREE = Resources(8000, 8000)
FULL = Resources(500, 8000)


def target(name: str, *labels: str, free: Resources = FREE) -> TargetRecord:
    record = TargetRecord(name, "hall", "1")
    record.report = RunnerReport("svc", name, RunnerState.READY, Health.GOOD, FREE, free, labels)
    return record


def job(
    rack: str = "", label: str = "", spread: int = 0, count: int = 2, need: Resources = NEED
) -> JobRecord:
    request = JobRequest("key", "spec", count, need, 0.4, 3.0, rack, label, spread)
    return new_job(1, request, QUEUE, 10.0)


def chosen(now: float, job_record: JobRecord, *targets: TargetRecord) -> str:
    """Return the name of the target that the job's first task goes to, or nothing."""
    placement = Placement("hall", Random(1), 1.5)
    eligible = placement.eligible(job_record, list(targets))
    found = placement.choose(now, job_record, job_record.tasks[0], eligible) if eligible else None
    return found.name if found else ""


def test_a_task_is_placed_in_the_rack_of_its_data() -> None:
    busy = target("local", "a", "r1", free=Resources(2000, 8000))
    assert chosen(10.0, job(rack="r1"), target("remote", "a", "r2"), busy) == "local"


@pytest.mark.parametrize(
    ("after", "expected"),
    [(0.0, ""), (0.1, "remote"), (0.15, ""), (0.4, "remote")],
    ids=["early", "in-time-elsewhere", "in-time-only-in-rack", "late-anywhere"],
)
def test_a_task_waits_for_its_datas_rack_while_it_can_end_in_time_there(
    after: float, expected: str
) -> None:
    local = target("local", "r1", free=FULL)
    assert chosen(10.0 + after, job(rack="r1"), local, target("remote", "r2")) == expected


def test_a_task_whose_rack_is_unknown_runs_anywhere() -> None:
    assert chosen(10.0, job(rack="r9"), target("remote", "r2")) == "remote"


def test_a_required_label_restricts_the_targets() -> None:
    assert chosen(10.0, job(label="b"), target("t1", "a"), target("t2", "b")) == "t2"
    assert chosen(10.0, job(label="b"), target("t1", "a")) == ""


def test_no_target_gets_more_of_a_jobs_tasks_than_its_spread_allows() -> None:
    job_record = job(spread=1)
    only = target("t1")
    assert chosen(10.0, job_record, only) == "t1"
    job_record.tasks[1].target = "t1"
    job_record.tasks[1].phase = type(job_record.tasks[1].phase).PLACED
    assert chosen(10.0, job_record, only) == ""


def test_tasks_of_a_job_that_are_placed_together_are_spread() -> None:
    placement = Placement("hall", Random(1), 1.5)
    job_record = job(spread=2, count=5)
    eligible = placement.eligible(job_record, [target("t1"), target("t2")])
    names = []
    for task in job_record.tasks:
        found = placement.choose(10.0, job_record, task, eligible)
        if found is not None:
            task.target, task.phase = found.name, TaskPhase.PLACED
            found.reserve(job_record.request.need)
            names.append(found.name)
    assert sorted(names) == ["t1", "t1", "t2", "t2"]


FAST, SLOW = 0.7, 1.7


def of_kind(
    name: str, slowness: float, *labels: str, free: Resources = FREE, hall: str = "hall"
) -> TargetRecord:
    record = target(name, *labels, free=free)
    record.kind_factor = slowness
    record.hall = hall
    return record


def relaxed_job(count: int = 2, length: float = 0.4) -> JobRecord:
    """Return a job that ends in time on a slow host too, with a margin."""
    queue = Queue("q", "host", "/q/", "svc", stretch=3.0, latency=0.06)
    return new_job(1, JobRequest("key", "spec", count, NEED, length, 9.0), queue, 10.0)


def test_a_task_that_ends_in_time_on_a_slow_host_does_not_use_a_fast_one() -> None:
    assert chosen(10.0, relaxed_job(), of_kind("fast", FAST), of_kind("slow", SLOW)) == "slow"


def test_a_much_more_loaded_slow_host_is_not_preferred() -> None:
    slow = of_kind("slow", SLOW, free=Resources(3000, 8000))
    assert chosen(10.0, relaxed_job(), of_kind("fast", FAST), slow) == "fast"


@pytest.mark.parametrize(
    ("job_record", "after"),
    [(relaxed_job(count=32), 0.45), (relaxed_job(count=1), 0.6), (job(), 0.0)],
    ids=["wide", "urgent", "short-objective"],
)
def test_a_task_that_may_be_late_on_a_slow_host_goes_to_a_fast_one(
    job_record: JobRecord, after: float
) -> None:
    fast = of_kind("fast", FAST, free=Resources(3000, 8000))
    assert chosen(10.0 + after, job_record, fast, of_kind("slow", SLOW)) == "fast"


def test_a_job_with_a_single_task_needs_less_margin_on_a_slow_host() -> None:
    fast = of_kind("fast", FAST, free=Resources(3000, 8000))
    assert chosen(10.45, relaxed_job(count=1), fast, of_kind("slow", SLOW)) == "slow"


@pytest.mark.parametrize(
    ("after", "expected"),
    [(0.0, ""), (0.2, ""), (0.6, "slow")],
    ids=["early", "in-time-on-a-fast-one", "late-anywhere"],
)
def test_a_job_waits_for_a_fast_host_while_it_can_end_in_time_there(
    after: float, expected: str
) -> None:
    full = of_kind("fast", FAST, free=FULL)
    assert chosen(10.0 + after, job(), full, of_kind("slow", SLOW)) == expected


@pytest.mark.parametrize("after", [0.0, 0.05, 0.1, 0.2, 0.3, 0.45])
@pytest.mark.parametrize("free", [FREE, FULL], ids=["room", "full"])
def test_should_wait_for_kind_agrees_with_the_choice_of_a_target(
    after: float, free: Resources
) -> None:
    targets = [of_kind("fast", FAST, free=free), of_kind("slow", SLOW)]
    for record in targets:
        record.connected, record.last_received = True, 10.0 + after
        record.session = Session(1, 0)
    snapshot = TargetSnapshot(10.0 + after, targets, lease_times(Bounds()))
    held = Placement("hall", Random(1), 1.5).should_wait_for_kind(10.0 + after, job(), snapshot)
    assert held == (chosen(10.0 + after, job(), *targets) == "")


def cold(record: TargetRecord) -> TargetRecord:
    record.cold_until = 20.0
    return record


def slowed(record: TargetRecord) -> TargetRecord:
    """Make a target's runner three times as slow as its kind."""
    record.deviation = 3.0
    return record


def large(record: TargetRecord) -> TargetRecord:
    """Make a target large enough for a task of ten cores."""
    capacity = Resources(12000, 12000)
    record.report = RunnerReport(
        "svc", record.name, RunnerState.READY, Health.GOOD, capacity, capacity, ("b",)
    )
    return record


def on_probation(record: TargetRecord) -> TargetRecord:
    assert record.report is not None
    record.report = msgspec.structs.replace(record.report, health=Health.PROBATION)
    return record


@pytest.mark.parametrize(
    ("job_record", "fast"),
    [
        (job(label="b"), of_kind("fast", FAST, "a", free=FULL)),
        (job(need=Resources(10000, 10)), of_kind("fast", FAST, "a", free=FULL)),
        (job(), on_probation(of_kind("fast", FAST, free=FULL))),
        (job(), slowed(of_kind("fast", FAST, free=FULL))),
        (job(), cold(of_kind("fast", 1.1, free=FULL))),
    ],
    ids=["label", "too-large-for-fast", "probation", "slowed", "cold"],
)
def test_no_job_is_held_for_a_fast_host_that_can_not_run_it_in_time(
    job_record: JobRecord, fast: TargetRecord
) -> None:
    targets = [fast, large(of_kind("slow", SLOW, "b"))]
    for record in targets:
        record.connected, record.last_received = True, 10.1
        record.session = Session(1, 0)
    snapshot = TargetSnapshot(10.1, targets, lease_times(Bounds()))
    assert chosen(10.1, job_record, *targets) == "slow"
    assert not Placement("hall", Random(1), 1.5).should_wait_for_kind(10.1, job_record, snapshot)


@pytest.mark.parametrize(
    "job_record", [job(label="b"), job(spread=1)], ids=["only-one-of-its-label", "spread"]
)
def test_a_job_is_not_held_for_a_kind_whose_eligible_hosts_are_all_slowed(
    job_record: JobRecord,
) -> None:
    only, normal = slowed(of_kind("slowed", FAST, "b")), of_kind("normal", FAST, "a")
    if job_record.request.spread:
        job_record.tasks[1].target, job_record.tasks[1].phase = "normal", TaskPhase.PLACED
    assert chosen(10.0, job_record, only, normal) == "slowed"


@pytest.mark.parametrize("after", [0.0, 0.02])
def test_a_task_stays_in_a_rack_whose_only_free_runner_is_cold(after: float) -> None:
    local, remote = cold(target("local", "r1")), target("remote", "r2")
    assert chosen_with_factor(10.0 + after, job(rack="r1"), 3.0, local, remote) == "local"


def test_a_choice_with_a_cold_runner_does_not_compare_records_field_by_field(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Such comparisons are too slow with hundreds of targets."""

    def compared(one: object, other: object) -> bool:
        raise AssertionError(one, other)

    monkeypatch.setattr(TargetRecord, "__eq__", compared)
    assert chosen(10.0, job(), cold(target("cold")), target("t1"), target("t2")) in ("t1", "t2")


def test_a_warm_runner_is_preferred_in_a_rack() -> None:
    warm = target("warm", "r1", free=Resources(1000, 8000))
    assert chosen_with_factor(10.0, job(rack="r1"), 3.0, cold(target("cold", "r1")), warm) == "warm"


def test_a_cold_fast_host_is_chosen_if_a_task_is_late_on_the_warm_slow_one() -> None:
    fast, slow = cold(of_kind("fast", FAST)), of_kind("slow", SLOW)
    assert chosen(10.1, job(), fast, slow) == "fast"


def test_a_warm_slow_host_is_chosen_before_a_cold_fast_one_if_a_task_ends_in_time() -> None:
    fast, slow = cold(of_kind("fast", FAST)), of_kind("slow", SLOW)
    assert chosen(10.0, relaxed_job(count=1), fast, slow) == "slow"


def test_a_job_with_a_late_task_on_a_slow_host_does_not_use_fast_ones() -> None:
    job_record = job()
    job_record.tasks[1].target = "slow"
    job_record.tasks[1].phase = TaskPhase.PLACED
    job_record.tasks[1].placed_at = 10.3
    fast, slow = of_kind("fast", FAST), of_kind("slow", SLOW)
    assert chosen(10.3, job_record, fast, slow) == "slow"
    assert chosen(10.3, job(), fast, slow) == "fast"


def test_a_late_job_is_not_placed_where_its_answer_would_be_of_no_use() -> None:
    fast, slow = of_kind("fast", FAST), of_kind("slow", 6.0)
    assert chosen(10.8, job(), fast, slow) == "fast"


def test_a_runner_slower_than_its_kind_is_chosen_by_its_own_speed() -> None:
    slow = of_kind("slow", FAST)
    slow.deviation = 3.0
    busy = of_kind("fast", FAST, free=Resources(1000, 8000))
    assert chosen(10.0, job(), slow, busy) == "fast"


@pytest.mark.parametrize(
    ("preference", "free", "expected"),
    [(0.0, 6000, "there"), (0.4, 6000, "here"), (0.4, 3000, "there")],
    ids=["no-preference", "own-hall-preferred", "own-hall-much-fuller"],
)
def test_a_target_in_another_hall_is_chosen_only_if_its_load_is_much_lower(
    preference: float, free: int, expected: str
) -> None:
    here = of_kind("here", 1.0, free=Resources(free, 8000))
    there = of_kind("there", 1.0, hall="other")
    placement = Placement("hall", Random(1), 1.5, hall_preference=preference)
    job_record = job()
    found = placement.choose(
        10.0, job_record, job_record.tasks[0], placement.eligible(job_record, [here, there])
    )
    assert found is not None
    assert found.name == expected


def test_tasks_of_a_job_share_the_message_to_another_hall() -> None:
    placement = Placement("hall", Random(1), 1.5, hall_preference=0.4)
    targets = [of_kind(f"t{number}", 1.0, hall="other") for number in range(6)]
    job_record = job(count=3)
    eligible = placement.eligible(job_record, targets)
    names = set()
    for task in job_record.tasks:
        found = placement.choose(10.0, job_record, task, eligible)
        assert found is not None
        found.reserve(job_record.request.need)
        names.add(found.name)
    assert len(names) == 1


def chosen_with_factor(
    now: float, job_record: JobRecord, factor: float, *targets: TargetRecord
) -> str:
    placement = Placement("hall", Random(1), factor)
    eligible = placement.eligible(job_record, list(targets))
    found = placement.choose(now, job_record, job_record.tasks[0], eligible) if eligible else None
    return found.name if found else ""


@pytest.mark.parametrize(
    ("after", "factor", "expected"),
    [(0.0, 3.0, ""), (0.25, 3.0, ""), (0.35, 3.0, "remote"), (0.35, 30.0, "")],
    ids=["in-time-in-rack", "just-in-time-in-rack", "late-anywhere", "of-no-use-elsewhere"],
)
def test_a_task_waits_for_a_full_rack_if_it_would_be_late_elsewhere(
    after: float, factor: float, expected: str
) -> None:
    local = target("local", "r1", free=FULL)
    found = chosen_with_factor(10.0 + after, job(rack="r1"), factor, local, target("remote", "r2"))
    assert found == expected


def test_a_fast_host_elsewhere_is_chosen_if_the_task_ends_sooner_than_in_the_rack() -> None:
    local, remote = of_kind("local", 2.5, "r1"), of_kind("remote", FAST, "r2")
    assert chosen_with_factor(10.2, job(rack="r1"), 1.5, local, remote) == "remote"
    assert chosen_with_factor(10.2, job(rack="r1"), 9.0, local, remote) == "local"


def test_the_other_tasks_wait_for_the_rack_until_a_remote_task_of_the_job_ends() -> None:
    job_record = job(rack="r1")
    job_record.tasks[1].target = "remote"
    job_record.tasks[1].phase = TaskPhase.PLACED
    job_record.tasks[1].placed_at = 10.35
    local, remote = target("local", "r1", free=FULL), target("remote", "r2")
    assert chosen_with_factor(10.6, job_record, 2.0, local, remote) == ""
    assert chosen_with_factor(10.9, job_record, 2.0, local, remote) == "remote"

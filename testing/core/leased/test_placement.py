"""Which target a task goes to."""

from random import Random

import msgspec
import pytest
from paddleshunt_core.leased.bounds import Bounds, lease_times
from paddleshunt_core.leased.catalog import Queue
from paddleshunt_core.leased.jobs import JobRecord, JobRequest, TaskPhase, new_job
from paddleshunt_core.leased.placement import Placement
from paddleshunt_core.leased.resources import Resources
from paddleshunt_core.leased.room import RoomNow
from paddleshunt_core.leased.session import Session
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


def job(
    rack: str = "", label: str = "", spread: int = 0, count: int = 2, need: Resources = NEED
) -> JobRecord:
    request = JobRequest("key", "spec", count, need, 0.4, 3.0, rack, label, spread)
    return new_job(1, request, QUEUE, 10.0)


def chosen(now: float, asked: JobRecord, *targets: TargetRecord) -> str:
    """Return the name of the target that the job's first task goes to, or nothing."""
    placement = Placement("hall", Random(1), 1.5)
    eligible = placement.eligible(asked, list(targets))
    found = placement.choose(now, asked, asked.tasks[0], eligible) if eligible else None
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


def test_tasks_of_a_job_that_are_placed_together_are_spread() -> None:
    placement = Placement("hall", Random(1), 1.5)
    asked = job(spread=2, count=5)
    eligible = placement.eligible(asked, [target("t1"), target("t2")])
    names = []
    for task in asked.tasks:
        found = placement.choose(10.0, asked, task, eligible)
        if found is not None:
            task.target, task.phase = found.name, TaskPhase.PLACED
            found.reserve(asked.request.need)
            names.append(found.name)
    assert sorted(names) == ["t1", "t1", "t2", "t2"]


# Hosts of several kinds.

FAST, SLOW = 0.7, 1.7


def of_kind(
    name: str, slowness: float, *labels: str, free: Resources = FREE, hall: str = "hall"
) -> TargetRecord:
    record = target(name, *labels, free=free)
    record.kind_factor = slowness
    record.hall = hall
    return record


def patient(count: int = 2, length: float = 0.4) -> JobRecord:
    """Return a job that ends in time on a slow host too, with time to spare."""
    queue = Queue("q", "host", "/q/", "svc", stretch=3.0, latency=0.06)
    return new_job(1, JobRequest("key", "spec", count, NEED, length, 9.0), queue, 10.0)


def test_a_task_that_is_in_time_on_a_slow_host_leaves_the_fast_ones_free() -> None:
    assert chosen(10.0, patient(), of_kind("fast", FAST), of_kind("slow", SLOW)) == "slow"


def test_a_slow_host_that_is_much_fuller_is_passed_over() -> None:
    slow = of_kind("slow", SLOW, free=Resources(3000, 8000))
    assert chosen(10.0, patient(), of_kind("fast", FAST), slow) == "fast"


@pytest.mark.parametrize(
    ("asked", "after"),
    [(patient(count=32), 0.45), (patient(count=1), 0.6), (job(), 0.0)],
    ids=["wide", "urgent", "short-objective"],
)
def test_what_may_be_late_on_a_slow_host_goes_to_a_fast_one(asked: JobRecord, after: float) -> None:
    fast = of_kind("fast", FAST, free=Resources(3000, 8000))
    assert chosen(10.0 + after, asked, fast, of_kind("slow", SLOW)) == "fast"


def test_the_same_job_with_few_tasks_goes_to_the_slow_host() -> None:
    fast = of_kind("fast", FAST, free=Resources(3000, 8000))
    assert chosen(10.45, patient(count=1), fast, of_kind("slow", SLOW)) == "slow"


@pytest.mark.parametrize(
    ("after", "expected"),
    [(0.0, ""), (0.2, ""), (0.6, "slow")],
    ids=["in-time-on-a-fast-one", "still", "late-anyhow"],
)
def test_a_job_waits_for_a_fast_host_while_that_serves_it(after: float, expected: str) -> None:
    full = of_kind("fast", FAST, free=FULL)
    assert chosen(10.0 + after, job(), full, of_kind("slow", SLOW)) == expected


@pytest.mark.parametrize("after", [0.0, 0.05, 0.1, 0.2, 0.3, 0.45])
@pytest.mark.parametrize("free", [FREE, FULL], ids=["room", "full"])
def test_the_cheap_look_at_kinds_holds_no_job_that_would_be_placed(
    after: float, free: Resources
) -> None:
    targets = [of_kind("fast", FAST, free=free), of_kind("slow", SLOW)]
    for record in targets:
        record.connected, record.last_received = True, 10.0 + after
        record.session = Session(1, 0)
    room = RoomNow(10.0 + after, targets, lease_times(Bounds()))
    held = Placement("hall", Random(1), 1.5).awaits_kind(10.0 + after, job(), room)
    assert held == (chosen(10.0 + after, job(), *targets) == "")


def cold(record: TargetRecord) -> TargetRecord:
    record.cold_until = 20.0
    return record


def lame(record: TargetRecord) -> TargetRecord:
    record.deviation = 3.0
    return record


def large(record: TargetRecord) -> TargetRecord:
    """Give a target the only room for a task of ten cores."""
    room = Resources(12000, 12000)
    record.report = RunnerReport(
        "svc", record.name, RunnerState.READY, Health.GOOD, room, room, ("b",)
    )
    return record


def proving(record: TargetRecord) -> TargetRecord:
    assert record.report is not None
    record.report = msgspec.structs.replace(record.report, health=Health.PROBATION)
    return record


@pytest.mark.parametrize(
    ("asked", "fast"),
    [
        (job(label="b"), of_kind("fast", FAST, "a", free=FULL)),
        (job(need=Resources(10000, 10)), of_kind("fast", FAST, "a", free=FULL)),
        (job(), proving(of_kind("fast", FAST, free=FULL))),
        (job(), lame(of_kind("fast", FAST, free=FULL))),
        (job(), cold(of_kind("fast", 1.1, free=FULL))),
    ],
    ids=["label", "too-large-for-fast", "probation", "lame", "cold"],
)
def test_no_job_is_held_for_a_fast_host_that_will_not_have_it(
    asked: JobRecord, fast: TargetRecord
) -> None:
    targets = [fast, large(of_kind("slow", SLOW, "b"))]
    for record in targets:
        record.connected, record.last_received = True, 10.1
        record.session = Session(1, 0)
    room = RoomNow(10.1, targets, lease_times(Bounds()))
    assert chosen(10.1, asked, *targets) == "slow"
    assert not Placement("hall", Random(1), 1.5).awaits_kind(10.1, asked, room)


@pytest.mark.parametrize(
    "asked", [job(label="b"), job(spread=1)], ids=["only-one-of-its-label", "spread"]
)
def test_a_job_is_not_held_for_a_kind_of_which_all_that_may_have_it_are_lame(
    asked: JobRecord,
) -> None:
    only, well = lame(of_kind("lame", FAST, "b")), of_kind("well", FAST, "a")
    if asked.request.spread:
        asked.tasks[1].target, asked.tasks[1].phase = "well", TaskPhase.PLACED
    assert chosen(10.0, asked, only, well) == "lame"


# Cold runners.


@pytest.mark.parametrize("after", [0.0, 0.02])
def test_a_rack_whose_runners_with_room_are_cold_keeps_its_work(after: float) -> None:
    near, far = cold(target("near", "r1")), target("far", "r2")
    assert chosen_far(10.0 + after, job(rack="r1"), 3.0, near, far) == "near"


def test_a_cold_runner_makes_no_choice_compare_records_field_by_field(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """With hundreds of targets each task would take a good part of a second."""

    def compared(one: object, other: object) -> bool:
        raise AssertionError(one, other)

    monkeypatch.setattr(TargetRecord, "__eq__", compared)
    assert chosen(10.0, job(), cold(target("cold")), target("t1"), target("t2")) in ("t1", "t2")


def test_a_warm_runner_goes_first_in_a_rack() -> None:
    warm = target("warm", "r1", free=Resources(1000, 8000))
    assert chosen_far(10.0, job(rack="r1"), 3.0, cold(target("cold", "r1")), warm) == "warm"


def test_a_cold_fast_host_where_a_task_is_in_time_beats_a_warm_slow_one_where_it_is_not() -> None:
    fast, slow = cold(of_kind("fast", FAST)), of_kind("slow", SLOW)
    assert chosen(10.1, job(), fast, slow) == "fast"


def test_a_warm_slow_host_where_a_task_is_in_time_goes_before_a_cold_fast_one() -> None:
    fast, slow = cold(of_kind("fast", FAST)), of_kind("slow", SLOW)
    assert chosen(10.0, patient(count=1), fast, slow) == "slow"


def test_a_job_with_a_task_that_is_late_on_a_slow_host_leaves_the_fast_ones_free() -> None:
    asked = job()
    asked.tasks[1].target = "slow"
    asked.tasks[1].phase = TaskPhase.PLACED
    asked.tasks[1].placed_at = 10.3
    fast, slow = of_kind("fast", FAST), of_kind("slow", SLOW)
    assert chosen(10.3, asked, fast, slow) == "slow"
    assert chosen(10.3, job(), fast, slow) == "fast"


def test_a_late_job_is_not_sent_where_its_answer_would_be_of_no_use() -> None:
    fast, slow = of_kind("fast", FAST), of_kind("slow", 6.0)
    assert chosen(10.8, job(), fast, slow) == "fast"


def test_a_runner_that_differs_from_its_kind_counts_as_what_it_is() -> None:
    lame = of_kind("lame", FAST)
    lame.deviation = 3.0
    busy = of_kind("fast", FAST, free=Resources(1000, 8000))
    assert chosen(10.0, job(), lame, busy) == "fast"


# Halls.


@pytest.mark.parametrize(
    ("preference", "free", "expected"),
    [(0.0, 6000, "there"), (0.4, 6000, "here"), (0.4, 3000, "there")],
    ids=["ways-are-free", "ways-are-dear", "clearly-fuller"],
)
def test_a_way_between_halls_is_taken_for_room_that_is_worth_it(
    preference: float, free: int, expected: str
) -> None:
    here = of_kind("here", 1.0, free=Resources(free, 8000))
    there = of_kind("there", 1.0, hall="other")
    placement = Placement("hall", Random(1), 1.5, hall_preference=preference)
    asked = job()
    found = placement.choose(10.0, asked, asked.tasks[0], placement.eligible(asked, [here, there]))
    assert found is not None
    assert found.name == expected


def test_tasks_of_a_job_share_the_message_to_another_hall() -> None:
    placement = Placement("hall", Random(1), 1.5, hall_preference=0.4)
    targets = [of_kind(f"t{number}", 1.0, hall="other") for number in range(6)]
    asked = job(count=3)
    eligible = placement.eligible(asked, targets)
    names = set()
    for task in asked.tasks:
        found = placement.choose(10.0, asked, task, eligible)
        assert found is not None
        found.reserve(asked.request.need)
        names.add(found.name)
    assert len(names) == 1


# Racks far from all else.


def chosen_far(now: float, asked: JobRecord, factor: float, *targets: TargetRecord) -> str:
    placement = Placement("hall", Random(1), factor)
    eligible = placement.eligible(asked, list(targets))
    found = placement.choose(now, asked, asked.tasks[0], eligible) if eligible else None
    return found.name if found else ""


@pytest.mark.parametrize(
    ("after", "factor", "expected"),
    [(0.0, 3.0, ""), (0.25, 3.0, ""), (0.35, 3.0, "far"), (0.35, 30.0, "")],
    ids=["in-time-there", "just-in-time-there", "late-anyhow", "of-no-use-elsewhere"],
)
def test_a_task_does_not_leave_a_full_rack_for_a_place_where_it_is_late(
    after: float, factor: float, expected: str
) -> None:
    near = target("near", "r1", free=FULL)
    found = chosen_far(10.0 + after, job(rack="r1"), factor, near, target("far", "r2"))
    assert found == expected


def test_a_fast_host_elsewhere_beats_a_slow_one_in_the_rack_if_it_ends_sooner() -> None:
    near, far = of_kind("near", 2.5, "r1"), of_kind("far", FAST, "r2")
    assert chosen_far(10.2, job(rack="r1"), 1.5, near, far) == "far"
    assert chosen_far(10.2, job(rack="r1"), 9.0, near, far) == "near"


def test_once_a_task_runs_elsewhere_the_others_wait_for_the_rack_as_long_as_it_takes() -> None:
    asked = job(rack="r1")
    asked.tasks[1].target = "far"
    asked.tasks[1].phase = TaskPhase.PLACED
    asked.tasks[1].placed_at = 10.35
    near, far = target("near", "r1", free=FULL), target("far", "r2")
    assert chosen_far(10.6, asked, 2.0, near, far) == ""
    assert chosen_far(10.9, asked, 2.0, near, far) == "far"

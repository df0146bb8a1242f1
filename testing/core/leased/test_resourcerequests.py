"""What targets are told of the tasks that wait at an entry."""

import msgspec
import pytest
from paddleshunt_core.leased.catalog import Queue
from paddleshunt_core.leased.jobs import LATE_PENALTY_SECONDS, JobRecord, JobRequest, new_job
from paddleshunt_core.leased.resourcerequests import PAUSE_SECONDS, REPEAT_SECONDS, Wants
from paddleshunt_core.leased.resources import NOTHING, Resources
from paddleshunt_core.leased.session import Session
from paddleshunt_core.leased.targets import TargetRecord
from paddleshunt_core.leased.wire import Decline, Health, RunnerReport, RunnerState, Want

QUEUE = Queue("q", "host", "/q/", "svc", stretch=1.6, latency=0.06)
NEED = Resources(2000, 64)


def target(name: str, *, service: str = "svc", labels: tuple[str, ...] = ()) -> TargetRecord:
    record = TargetRecord(name, "hall", "life", session=Session(1, 0))
    capacity = Resources(8000, 8000)
    record.take_report(
        1.0,
        RunnerReport(service, "i-1", RunnerState.READY, Health.GOOD, capacity, NOTHING, labels),
    )
    return record


def waiting(key: str = "job", *, at: float = 1.0, label: str = "") -> JobRecord:
    return new_job(1, JobRequest(key, "spec", 2, NEED, 0.5, 4.0, label=label), QUEUE, at)


def told(record: TargetRecord) -> list[Want]:
    assert record.session is not None
    bodies = record.session.frame(0).bodies
    return [body for body in bodies if isinstance(body, Want)]


def test_all_targets_of_the_service_are_told_of_the_job_that_waits() -> None:
    ours, other = target("t0"), target("t1", service="other")
    Wants().tell(1.0, {"svc": waiting()}, [ours, other], [])
    # It must start 0.36 s after it came: 1.6 times 0.5 s, and 0.06 s, less its length.
    assert told(ours) == [Want(NEED, 360)]
    assert told(other) == []


def test_nothing_is_told_while_nothing_waits() -> None:
    ours = target("t0")
    Wants().tell(1.0, {}, [ours], [])
    assert told(ours) == []


def test_a_target_is_told_of_a_job_once_and_again_after_a_while() -> None:
    ours, wants, job = target("t0"), Wants(), waiting()
    wants.tell(1.0, {"svc": job}, [ours], [])
    wants.tell(1.0 + 2 * PAUSE_SECONDS, {"svc": job}, [ours], [])
    assert len(told(ours)) == 1
    wants.tell(1.0 + REPEAT_SECONDS + 0.01, {"svc": job}, [ours], [])
    assert len(told(ours)) == 1


def test_rounds_are_apart_but_a_target_that_was_sent_tasks_is_told_at_once() -> None:
    first, second, wants = target("t0"), target("t1"), Wants()
    wants.tell(1.0, {"svc": waiting("a")}, [first, second], [])
    told(first), told(second)
    wants.tell(1.001, {"svc": waiting("b")}, [first, second], [first])
    assert len(told(first)) == 1
    assert told(second) == []
    wants.tell(1.0 + 2 * PAUSE_SECONDS, {"svc": waiting("b")}, [first, second], [])
    assert len(told(second)) == 1


def test_a_job_that_is_late_already_goes_behind_all_others() -> None:
    ours = target("t0")
    Wants().tell(9.0, {"svc": waiting(at=1.0)}, [ours], [])
    assert told(ours) == [Want(NEED, round(1000 * (LATE_PENALTY_SECONDS + 0.36 - 8.0)))]


@pytest.mark.parametrize(("labels", "count"), [((), 0), (("big",), 1)], ids=["without", "with"])
def test_only_targets_that_may_run_the_job_are_told(labels: tuple[str, ...], count: int) -> None:
    ours = target("t0", labels=labels)
    Wants().tell(1.0, {"svc": waiting(label="big")}, [ours], [])
    assert len(told(ours)) == count


def test_room_that_is_offered_and_not_used_is_declined() -> None:
    offering, used, wants = target("t0"), target("t1"), Wants()
    wants.tell(1.0, {"svc": waiting()}, [offering, used], [])
    for record in (offering, used):
        told(record)
        assert record.report is not None
        record.report = msgspec.structs.replace(record.report, free=NEED)
    for record in (offering, used):
        wants.reported(record)
    wants.tell(1.001, {}, [offering, used], [used])
    assert offering.session is not None and used.session is not None
    assert offering.session.frame(0).bodies == [Decline()]
    assert used.session.frame(0).bodies == []


def test_room_too_small_for_what_is_wanted_is_no_offer() -> None:
    ours, wants = target("t0"), Wants()
    wants.tell(1.0, {"svc": waiting()}, [ours], [])
    told(ours)
    assert ours.report is not None and ours.session is not None
    ours.report = msgspec.structs.replace(ours.report, free=Resources(500, 64))
    wants.reported(ours)
    wants.tell(1.001, {}, [ours], [])
    assert ours.session.frame(0).bodies == []

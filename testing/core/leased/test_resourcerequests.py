"""Resource requests that an entry sends to its targets."""

import msgspec
import pytest
from paddleshunt_core.leased.catalog import Queue
from paddleshunt_core.leased.jobs import LATE_PENALTY_SECONDS, JobRecord, JobRequest, new_job
from paddleshunt_core.leased.resourcerequests import (
    MIN_INTERVAL_SECONDS,
    REPEAT_SECONDS,
    ResourceRequests,
)
from paddleshunt_core.leased.resources import NO_RESOURCES, Resources
from paddleshunt_core.leased.session import Session
from paddleshunt_core.leased.targets import TargetRecord
from paddleshunt_core.leased.wire import (
    DeclineOffer,
    Health,
    ResourceRequest,
    RunnerReport,
    RunnerState,
)

QUEUE = Queue("q", "host", "/q/", "svc", stretch=1.6, latency=0.06)
NEED = Resources(2000, 64)


def target(name: str, *, service: str = "svc", labels: tuple[str, ...] = ()) -> TargetRecord:
    record = TargetRecord(name, "hall", "life", session=Session(1, 0))
    capacity = Resources(8000, 8000)
    record.update_report(
        1.0,
        RunnerReport(
            service, "i-1", RunnerState.READY, Health.GOOD, capacity, NO_RESOURCES, labels
        ),
    )
    return record


def waiting(key: str = "job", *, at: float = 1.0, label: str = "") -> JobRecord:
    return new_job(1, JobRequest(key, "spec", 2, NEED, 0.5, 4.0, label=label), QUEUE, at)


def sent_requests(record: TargetRecord) -> list[ResourceRequest]:
    assert record.session is not None
    bodies = record.session.frame(0).bodies
    return [body for body in bodies if isinstance(body, ResourceRequest)]


def test_all_targets_of_the_service_are_sent_the_waiting_job() -> None:
    ours, other = target("t0"), target("t1", service="other")
    ResourceRequests().send(1.0, {"svc": waiting()}, [ours, other], [])
    # It must start 0.36 s after its arrival: 1.6 * 0.5 s + 0.06 s, less its length of 0.5 s.
    assert sent_requests(ours) == [ResourceRequest(NEED, 360)]
    assert sent_requests(other) == []


def test_nothing_is_sent_while_no_job_waits() -> None:
    ours = target("t0")
    ResourceRequests().send(1.0, {}, [ours], [])
    assert sent_requests(ours) == []


def test_a_job_is_sent_once_and_repeated_after_an_interval() -> None:
    ours, requests, job = target("t0"), ResourceRequests(), waiting()
    requests.send(1.0, {"svc": job}, [ours], [])
    requests.send(1.0 + 2 * MIN_INTERVAL_SECONDS, {"svc": job}, [ours], [])
    assert len(sent_requests(ours)) == 1
    requests.send(1.0 + REPEAT_SECONDS + 0.01, {"svc": job}, [ours], [])
    assert len(sent_requests(ours)) == 1


def test_a_target_that_was_assigned_tasks_is_sent_to_between_rounds() -> None:
    first, second, requests = target("t0"), target("t1"), ResourceRequests()
    requests.send(1.0, {"svc": waiting("a")}, [first, second], [])
    sent_requests(first), sent_requests(second)
    requests.send(1.001, {"svc": waiting("b")}, [first, second], [first])
    assert len(sent_requests(first)) == 1
    assert sent_requests(second) == []
    requests.send(1.0 + 2 * MIN_INTERVAL_SECONDS, {"svc": waiting("b")}, [first, second], [])
    assert len(sent_requests(second)) == 1


def test_a_late_job_is_sent_with_a_low_urgency() -> None:
    ours = target("t0")
    ResourceRequests().send(9.0, {"svc": waiting(at=1.0)}, [ours], [])
    assert sent_requests(ours) == [
        ResourceRequest(NEED, round(1000 * (LATE_PENALTY_SECONDS + 0.36 - 8.0)))
    ]


@pytest.mark.parametrize(("labels", "count"), [((), 0), (("big",), 1)], ids=["without", "with"])
def test_only_targets_that_can_run_the_job_are_sent_to(labels: tuple[str, ...], count: int) -> None:
    ours = target("t0", labels=labels)
    ResourceRequests().send(1.0, {"svc": waiting(label="big")}, [ours], [])
    assert len(sent_requests(ours)) == count


def test_an_unused_offer_is_declined() -> None:
    offering, used, requests = target("t0"), target("t1"), ResourceRequests()
    requests.send(1.0, {"svc": waiting()}, [offering, used], [])
    for record in (offering, used):
        sent_requests(record)
        assert record.report is not None
        record.report = msgspec.structs.replace(record.report, free=NEED)
    for record in (offering, used):
        requests.record_report(record)
    requests.send(1.001, {}, [offering, used], [used])
    assert offering.session is not None and used.session is not None
    assert offering.session.frame(0).bodies == [DeclineOffer()]
    assert used.session.frame(0).bodies == []


def test_a_report_of_too_few_free_resources_is_not_declined() -> None:
    ours, requests = target("t0"), ResourceRequests()
    requests.send(1.0, {"svc": waiting()}, [ours], [])
    sent_requests(ours)
    assert ours.report is not None and ours.session is not None
    ours.report = msgspec.structs.replace(ours.report, free=Resources(500, 64))
    requests.record_report(ours)
    requests.send(1.001, {}, [ours], [])
    assert ours.session.frame(0).bodies == []

"""Tests of decoding callers' requests and encoding their answers."""

import msgspec
import pytest
from paddleshunt_core.leased.cancellations import CancelResult
from paddleshunt_core.leased.catalog import Catalog, Queue
from paddleshunt_core.leased.jobs import JobState
from paddleshunt_core.leased.outcomes import (
    Cancelled,
    Completed,
    Failed,
    GivenUp,
    JobOutcome,
    Refused,
)
from paddleshunt_core.leased.refusals import InputKind, Refusal
from paddleshunt_core.leased.resources import Resources
from paddleshunt_council.callers import MIN_ESTIMATE, HttpCallerCodec
from paddleshunt_node.aio.httpserver import Request, Response
from paddleshunt_node.aio.ports import Cancellation, StateRequest, Submission

KEY = "5c0e7a21d94b36f8"
CATALOG = Catalog(
    3,
    [Queue("short", "a.example", "/q/", "svc"), Queue("long", "a.example", "/q/deep/", "svc")],
    [],
)
STEP: dict[str, object] = {"count": 4, "cpu": 500, "mem_mb": 256, "estimated_ms": 900}


def request(
    method: str = "POST",
    path: str = f"/q/{KEY}",
    *,
    host: str = "a.example",
    body: object = None,
    deadline: str = "2500",
) -> Request:
    raw = msgspec.json.encode(body) if body is not None else b""
    return Request(method, path, {"host": host, "x-deadline-ms": deadline}, raw)


def job(**step: object) -> dict[str, object]:
    return {"spec": "text", "best_effort": True, "steps": [{**STEP, **step}]}


def test_job_is_decoded() -> None:
    result = HttpCallerCodec().read(request(body=job()), CATALOG)
    assert isinstance(result, Submission)
    assert result.queue.name == "short"
    assert (result.job.key, result.job.spec, result.job.count) == (KEY, "text", 4)
    assert result.job.need == Resources(500, 256, 0)
    assert (result.job.estimate, result.job.deadline) == (0.9, 2.5)


def test_longest_prefix_selects_the_queue() -> None:
    result = HttpCallerCodec().read(request(path=f"/q/deep/{KEY}", body=job()), CATALOG)
    assert isinstance(result, Submission)
    assert result.queue.name == "long"


def test_placement_constraints_are_decoded() -> None:
    body = job(requirements="a", affinity="r1-3", anti_affinity=2)
    result = HttpCallerCodec().read(request(body=body), CATALOG)
    assert isinstance(result, Submission)
    assert (result.job.label, result.job.rack, result.job.spread) == ("a", "r1-3", 2)


def test_negative_spread_and_estimate_count_as_zero() -> None:
    result = HttpCallerCodec().read(request(body=job(anti_affinity=-2, estimated_ms=-900)), CATALOG)
    assert isinstance(result, Submission)
    assert (result.job.spread, result.job.estimate) == (0, MIN_ESTIMATE)


@pytest.mark.parametrize(
    ("asked", "status"),
    [
        (request(host="b.example", body=job()), 404),
        (request(path="/other/", body=job()), 404),
        (request(path="/q/zz", body=job()), 404),
        (request(body={"steps": "no"}), 400),
        (request(body=job(count=0)), 400),
        (request(body=job(cpu=-1)), 400),
        (request(body=job(), deadline="soon"), 400),
        (request(body={"spec": "", "steps": [STEP]}), 503),
        (request(body=job(gang=True)), 503),
        (request("GET", "/q/"), 200),
        (request("PUT"), 405),
    ],
    ids=[
        "other-host",
        "other-path",
        "no-key",
        "malformed",
        "no-tasks",
        "negative",
        "bad-deadline",
        "must-be-kept",
        "gang",
        "count",
        "method",
    ],
)
def test_other_requests_get_a_response(asked: Request, status: int) -> None:
    result = HttpCallerCodec().read(asked, CATALOG)
    assert isinstance(result, Response)
    assert result.status == status


def test_requests_about_a_job_are_decoded() -> None:
    """The codec can't answer them, as it doesn't know the jobs."""
    assert HttpCallerCodec().read(request("GET"), CATALOG) == StateRequest(KEY)
    assert HttpCallerCodec().read(request("DELETE"), CATALOG) == Cancellation(KEY)


@pytest.mark.parametrize(
    ("result", "status", "body"),
    [
        (CancelResult.CANCELLED, 200, b'{"state":"cancelled"}'),
        (CancelResult.UNKNOWN_JOB, 410, b""),
        (CancelResult.UNCONFIRMED, 503, b'{"reason":"unconfirmed"}'),
    ],
    ids=lambda it: it.value if isinstance(it, CancelResult) else "",
)
def test_response_to_a_cancellation(result: CancelResult, status: int, body: bytes) -> None:
    answer = HttpCallerCodec().answer_cancellation(result)
    assert (answer.status, answer.body) == (status, body)
    assert dict(answer.headers).get("Retry-After") == ("1" if status == 503 else None)


@pytest.mark.parametrize(
    ("state", "status", "body"),
    [(JobState.QUEUED, 200, b'{"state":"queued"}'), (None, 410, b"")],
    ids=["queued", "unknown"],
)
def test_response_to_a_request_for_a_state(
    state: JobState | None, status: int, body: bytes
) -> None:
    answer = HttpCallerCodec().answer_state(state)
    assert (answer.status, answer.body) == (status, body)


@pytest.mark.parametrize(
    ("outcome", "status", "retry"),
    [
        (Completed(), 200, None),
        (Failed("attempts"), 200, None),
        (Refused("no_room", 2.6), 503, "3"),
        (Refused("no_room", 0.0), 503, "1"),
        (Refused("leaving", 0.0, elsewhere=True), 503, "0"),
        (GivenUp("deadline"), 504, "1"),
        (Cancelled("cancelled"), 200, None),
    ],
    ids=["completed", "failed", "refused", "refused-soon", "refused-here", "given-up", "cancelled"],
)
def test_outcome_status_and_retry_after(
    outcome: JobOutcome, status: int, retry: str | None
) -> None:
    answer = HttpCallerCodec().answer(outcome)
    assert answer.status == status
    assert dict(answer.headers).get("Retry-After") == retry


def test_refusal_has_its_reason() -> None:
    answer = HttpCallerCodec().answer(Refused("too_late", 1.0))
    assert msgspec.json.decode(answer.body) == {"reason": "too_late"}


def raw_request(body: bytes, deadline: str = "2500") -> Request:
    return Request("POST", f"/q/{KEY}", {"host": "a.example", "x-deadline-ms": deadline}, body)


VALID_BODY = msgspec.json.encode(job())


@pytest.mark.parametrize(
    "asked",
    [
        request(body=job(cpu=10**19)),
        raw_request(VALID_BODY.replace(b'"cpu":500', b'"cpu":' + b"9" * 30)),
        raw_request(VALID_BODY.replace(b'"estimated_ms":900', b'"estimated_ms":' + b"9" * 400)),
        raw_request(VALID_BODY, "9" * 400),
        raw_request(VALID_BODY, "1_000"),
        raw_request(VALID_BODY.replace(b'"text"', b'"\xff\xfe"')),
        raw_request(VALID_BODY[:-1] + b',"more":' + b"[" * 100_000),
        raw_request(VALID_BODY[:-9]),
        raw_request(b""),
        request(body=job(affinity="r" * 5000)),
        request(body=job(mem_mb="256")),
    ],
    ids=[
        "huge",
        "too-large-for-a-frame",
        "huge-estimate",
        "huge-deadline",
        "underscored-deadline",
        "no-text",
        "deep",
        "cut",
        "empty",
        "long-rack",
        "other-type",
    ],
)
def test_invalid_request_is_refused(asked: Request) -> None:
    result = HttpCallerCodec().read(asked, CATALOG)
    assert isinstance(result, Response)
    assert result.status == 400


def test_refused_request_is_reported_with_its_queue() -> None:
    refused: list[Refusal] = []
    callers = HttpCallerCodec(refused.append)
    for asked in (raw_request(b"{"), raw_request(VALID_BODY, "soon"), request(body=job(count=0))):
        callers.read(asked, CATALOG)
    assert [(one.kind, one.sender) for one in refused] == 3 * [(InputKind.REQUEST, "short")]

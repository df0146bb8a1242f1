"""Callers' requests on the platform, and their answers."""

import msgspec
import pytest
from paddleshunt_core.leased.catalog import Catalog, Queue
from paddleshunt_core.leased.outcomes import Completed, Failed, GivenUp, JobOutcome, Refused
from paddleshunt_core.leased.refusals import InputKind, Refusal
from paddleshunt_core.leased.resources import Resources
from paddleshunt_council.callers import LEAST_ESTIMATE, Callers
from paddleshunt_node.aio.httpserver import Request, Response
from paddleshunt_node.aio.ports import Submission

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


def test_a_job_is_read() -> None:
    read = Callers().read(request(body=job()), CATALOG)
    assert isinstance(read, Submission)
    assert read.queue.name == "short"
    assert (read.job.key, read.job.spec, read.job.count) == (KEY, "text", 4)
    assert read.job.need == Resources(500, 256, 0)
    assert (read.job.estimate, read.job.deadline) == (0.9, 2.5)


def test_the_longest_prefix_wins() -> None:
    read = Callers().read(request(path=f"/q/deep/{KEY}", body=job()), CATALOG)
    assert isinstance(read, Submission)
    assert read.queue.name == "long"


def test_where_tasks_may_run_is_read() -> None:
    body = job(requirements="a", affinity="r1-3", anti_affinity=2)
    read = Callers().read(request(body=body), CATALOG)
    assert isinstance(read, Submission)
    assert (read.job.label, read.job.rack, read.job.spread) == ("a", "r1-3", 2)


def test_a_spread_or_an_estimate_below_zero_is_none() -> None:
    read = Callers().read(request(body=job(anti_affinity=-2, estimated_ms=-900)), CATALOG)
    assert isinstance(read, Submission)
    assert (read.job.spread, read.job.estimate) == (0, LEAST_ESTIMATE)


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
        (request("GET"), 410),
        (request("DELETE"), 410),
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
        "state",
        "cancel",
        "method",
    ],
)
def test_a_request_that_is_no_job_is_answered(asked: Request, status: int) -> None:
    read = Callers().read(asked, CATALOG)
    assert isinstance(read, Response)
    assert read.status == status


@pytest.mark.parametrize(
    ("outcome", "status", "retry"),
    [
        (Completed(), 200, None),
        (Failed("attempts"), 200, None),
        (Refused("no_room", 2.6), 503, "3"),
        (Refused("no_room", 0.0), 503, "1"),
        (Refused("leaving", 0.0, elsewhere=True), 503, "0"),
        (GivenUp("deadline"), 504, "1"),
    ],
    ids=["completed", "failed", "refused", "refused-soon", "refused-here", "given-up"],
)
def test_outcomes_have_their_status(outcome: JobOutcome, status: int, retry: str | None) -> None:
    answer = Callers().answer(outcome)
    assert answer.status == status
    assert dict(answer.headers).get("Retry-After") == retry


def test_a_refusal_says_why() -> None:
    answer = Callers().answer(Refused("too_late", 1.0))
    assert msgspec.json.decode(answer.body) == {"reason": "too_late"}


def raw(body: bytes, deadline: str = "2500") -> Request:
    return Request("POST", f"/q/{KEY}", {"host": "a.example", "x-deadline-ms": deadline}, body)


GOOD = msgspec.json.encode(job())


@pytest.mark.parametrize(
    "asked",
    [
        request(body=job(cpu=10**19)),
        raw(GOOD.replace(b'"cpu":500', b'"cpu":' + b"9" * 30)),
        raw(GOOD.replace(b'"estimated_ms":900', b'"estimated_ms":' + b"9" * 400)),
        raw(GOOD, "9" * 400),
        raw(GOOD, "1_000"),
        raw(GOOD.replace(b'"text"', b'"\xff\xfe"')),
        raw(GOOD[:-1] + b',"more":' + b"[" * 100_000),
        raw(GOOD[:-9]),
        raw(b""),
        request(body=job(affinity="r" * 5000)),
        request(body=job(mem_mb="256")),
    ],
    ids=[
        "huge",
        "no-number-of-a-frame",
        "endless-task",
        "endless-deadline",
        "odd-deadline",
        "no-text",
        "deep",
        "cut",
        "empty",
        "long-rack",
        "other-type",
    ],
)
def test_a_request_that_can_not_be_read_is_refused(asked: Request) -> None:
    read = Callers().read(asked, CATALOG)
    assert isinstance(read, Response)
    assert read.status == 400


def test_a_refused_request_is_told_with_its_queue() -> None:
    refused: list[Refusal] = []
    callers = Callers(refused.append)
    for asked in (raw(b"{"), raw(GOOD, "soon"), request(body=job(count=0))):
        callers.read(asked, CATALOG)
    assert [(one.kind, one.sender) for one in refused] == 3 * [(InputKind.REQUEST, "short")]

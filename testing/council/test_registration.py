"""Tests of decoding a runner's heartbeats and deregistration."""

import json

import pytest
from paddleshunt_core.leased.orders import RunnerStatus
from paddleshunt_core.leased.refusals import InputKind, Refusal
from paddleshunt_core.leased.resources import Resources
from paddleshunt_core.leased.runnerincarnation import RunnerIncarnation
from paddleshunt_council.registration import DEREGISTER, HEARTBEAT, HttpRegistrationCodec
from paddleshunt_node.aio.httpserver import Request, Response
from paddleshunt_node.aio.ports import RunnerDeregistration

HEARTBEAT_BODY = (
    b'{"service":"s","address":"10.0.0.9:8080","zone":"hall","state":"draining","remaining_ms":1500,'
    b'"capacity":{"cpu":16000,"mem_mb":32768,"gpu":1},"labels":["a"],"sequence":4,'
    b'"cold_remaining_ms":2500}'
)


def read(path: str, body: bytes = b"", method: str = "POST") -> object:
    return HttpRegistrationCodec().read(Request(method, path, {}, body))


def test_heartbeat_is_decoded_to_a_status() -> None:
    assert read("/paddleshunt/Instances.Heartbeat/i-7", HEARTBEAT_BODY) == RunnerStatus(
        RunnerIncarnation("i-7"),
        "s",
        "hall",
        Resources(16000, 32768, 1),
        leaving=True,
        remaining=1.5,
        labels=("a",),
        sequence=4,
        cold=2.5,
        kind="a",
    )


@pytest.mark.parametrize(
    ("body", "born"),
    [(b"", 0), (b"{}", 0), (b'{"born":17}', 17)],
    ids=["empty", "no-start-time", "start-time"],
)
def test_deregistration_is_decoded(body: bytes, born: int) -> None:
    deregistration = read("/paddleshunt/Instances.Deregister/i-7", body)
    assert deregistration == RunnerDeregistration(RunnerIncarnation("i-7", born))


INVALID_START_TIMES = [b"null", b'"17"', b"1.5", b"-1", b"true", b"[17]", b"9" * 30]


@pytest.mark.parametrize("born", INVALID_START_TIMES, ids=bytes.decode)
@pytest.mark.parametrize("path", [HEARTBEAT, DEREGISTER])
def test_invalid_start_time_is_refused(path: str, born: bytes) -> None:
    body = HEARTBEAT_BODY.replace(b'"sequence":4', b'"sequence":4,"born":' + born)
    answer = read(path + "i-7", body)
    assert isinstance(answer, Response)
    assert answer.status == 400


def test_heartbeat_has_the_start_time() -> None:
    runner_status = read(HEARTBEAT + "i-7", heartbeat_body(born=17))
    assert isinstance(runner_status, RunnerStatus)
    assert runner_status.runner == RunnerIncarnation("i-7", 17)


@pytest.mark.parametrize(
    ("path", "body", "method", "status"),
    [
        ("/paddleshunt/Instances.Heartbeat/i-7", b"{}", "POST", 400),
        ("/paddleshunt/Instances.Heartbeat/i-7", HEARTBEAT_BODY, "GET", 405),
        ("/elsewhere", HEARTBEAT_BODY, "POST", 404),
    ],
    ids=["malformed", "method", "path"],
)
def test_other_requests_are_refused(path: str, body: bytes, method: str, status: int) -> None:
    answer = read(path, body, method)
    assert isinstance(answer, Response)
    assert answer.status == status


def heartbeat_body(**fields: object) -> bytes:
    """Return a heartbeat with some fields changed, or left out (None)."""
    body = {**json.loads(HEARTBEAT_BODY), **fields}
    return json.dumps({name: value for name, value in body.items() if value is not None}).encode()


CAPACITY = {"cpu": 16000, "mem_mb": 32768, "gpu": 1}
INVALID_HEARTBEATS = {
    "unknown-state": heartbeat_body(state="warming"),
    "no-state": heartbeat_body(state=None),
    "no-capacity": heartbeat_body(capacity=None),
    "empty-capacity": heartbeat_body(capacity={}),
    "no-memory": heartbeat_body(capacity={"cpu": 1}),
    "negative-capacity": heartbeat_body(capacity=CAPACITY | {"cpu": -5}),
    "huge-capacity": heartbeat_body(capacity=CAPACITY | {"cpu": 10**19}),
    "huge-memory": heartbeat_body(capacity=CAPACITY | {"mem_mb": 10**40}),
    "capacity-of-another-type": heartbeat_body(capacity=[16000, 32768, 1]),
    "empty-service": heartbeat_body(service=""),
    "no-service": heartbeat_body(service=None),
    "long-service": heartbeat_body(service="s" * 5000),
    "service-of-another-type": heartbeat_body(service=["s"]),
    "empty-zone": heartbeat_body(zone=""),
    "no-zone": heartbeat_body(zone=None),
    "no-sequence": heartbeat_body(sequence=None),
    "sequence-zero": heartbeat_body(sequence=0),
    "negative-sequence": heartbeat_body(sequence=-4),
    "huge-sequence": heartbeat_body(sequence=10**30),
    "cut": HEARTBEAT_BODY[:-20],
    "no-bytes": b"",
    "no-text": HEARTBEAT_BODY.replace(b'"s"', b'"\xff\xfe"'),
    "deep": HEARTBEAT_BODY[:-1] + b',"more":' + b"[" * 100_000,
}


@pytest.mark.parametrize("body", INVALID_HEARTBEATS.values(), ids=INVALID_HEARTBEATS.keys())
def test_invalid_required_field_is_refused(body: bytes) -> None:
    answer = read(HEARTBEAT + "i-7", body)
    assert isinstance(answer, Response)
    assert answer.status == 400


INVALID_OPTIONAL_FIELDS: dict[str, tuple[str, object]] = {
    "negative-remaining": ("remaining_ms", -1),
    "huge-remaining": ("remaining_ms", 10**400),
    "long-remaining": ("remaining_ms", 8 * 24 * 3600 * 1000),
    "fractional-remaining": ("remaining_ms", 0.5),
    "negative-cold": ("cold_remaining_ms", -1),
    "cold-of-another-type": ("cold_remaining_ms", "2500"),
    "many-labels": ("labels", ["a"] * 5000),
    "label-of-another-type": ("labels", ["a", 1]),
    "long-label": ("labels", ["a" * 5000]),
}


@pytest.mark.parametrize(
    ("field", "value"), INVALID_OPTIONAL_FIELDS.values(), ids=INVALID_OPTIONAL_FIELDS.keys()
)
def test_invalid_optional_field_is_refused_alone(field: str, value: object) -> None:
    refused: list[Refusal] = []
    request = Request("POST", HEARTBEAT + "i-7", {}, heartbeat_body(**{field: value}))
    runner_status = HttpRegistrationCodec(refused.append).read(request)
    assert runner_status == read(HEARTBEAT + "i-7", heartbeat_body(**{field: None}))
    assert isinstance(runner_status, RunnerStatus) and runner_status.leaving
    assert [(one.kind, one.sender) for one in refused] == [(InputKind.HEARTBEAT, "i-7")]


def test_unknown_fields_are_ignored() -> None:
    runner_status = read(HEARTBEAT + "i-7", heartbeat_body(tomorrow={"cpu": [1, None]}, slots="8"))
    assert runner_status == read(HEARTBEAT + "i-7", HEARTBEAT_BODY)


def test_runner_may_have_no_capacity() -> None:
    runner_status = read(HEARTBEAT + "i-7", heartbeat_body(capacity={"cpu": 0, "mem_mb": 0}))
    assert isinstance(runner_status, RunnerStatus)
    assert runner_status.capacity == Resources()


@pytest.mark.parametrize("path", [HEARTBEAT, DEREGISTER], ids=["heartbeat", "end"])
@pytest.mark.parametrize(
    "runner",
    ["", "i" * 5000, "i-7/x", "i\x857", "i\xe97", "%0d%0aX: y"],
    ids=["empty", "long", "path", "unprintable", "no-ascii", "encoded"],
)
def test_invalid_runner_id_is_refused(path: str, runner: str) -> None:
    answer = read(path + runner, HEARTBEAT_BODY)
    assert isinstance(answer, Response)
    assert answer.status == 400


def test_refusal_has_the_runner_and_the_problem() -> None:
    refused: list[Refusal] = []
    request = Request("POST", HEARTBEAT + "i-7", {}, heartbeat_body(state="warming"))
    HttpRegistrationCodec(refused.append).read(request)
    assert [(one.kind, one.sender) for one in refused] == [(InputKind.HEARTBEAT, "i-7")]
    assert "warming" in refused[0].problem and "state" in refused[0].problem

"""A runner's heartbeats."""

import json

import pytest
from paddleshunt_core.leased.orders import RunnerAccount
from paddleshunt_core.leased.refusals import Refusal, Word
from paddleshunt_core.leased.resources import Resources
from paddleshunt_core.leased.runnerlife import RunnerLife
from paddleshunt_council.registration import DEREGISTER, HEARTBEAT, Registration
from paddleshunt_node.aio.httpserver import Request, Response
from paddleshunt_node.aio.ports import RunnerDeregistration

BEAT = (
    b'{"service":"s","address":"10.0.0.9:8080","zone":"hall","state":"draining","remaining_ms":1500,'
    b'"capacity":{"cpu":16000,"mem_mb":32768,"gpu":1},"labels":["a"],"sequence":4,'
    b'"cold_remaining_ms":2500}'
)


def read(path: str, body: bytes = b"", method: str = "POST") -> object:
    return Registration().read(Request(method, path, {}, body))


def test_a_heartbeat_is_an_account() -> None:
    assert read("/paddleshunt/Instances.Heartbeat/i-7", BEAT) == RunnerAccount(
        RunnerLife("i-7"),
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
    ("body", "born"), [(b"", 0), (b"{}", 0), (b'{"born":17}', 17)], ids=["empty", "untold", "told"]
)
def test_a_runner_says_that_it_ends(body: bytes, born: int) -> None:
    ends = read("/paddleshunt/Instances.Deregister/i-7", body)
    assert ends == RunnerDeregistration(RunnerLife("i-7", born))


ODD_STARTS = [b"null", b'"17"', b"1.5", b"-1", b"true", b"[17]", b"9" * 30]


@pytest.mark.parametrize("born", ODD_STARTS, ids=bytes.decode)
@pytest.mark.parametrize("path", [HEARTBEAT, DEREGISTER])
def test_a_word_whose_start_is_odd_is_refused(path: str, born: bytes) -> None:
    body = BEAT.replace(b'"sequence":4', b'"sequence":4,"born":' + born)
    answer = read(path + "i-7", body)
    assert isinstance(answer, Response)
    assert answer.status == 400


def test_a_heartbeat_names_its_life() -> None:
    account = read(HEARTBEAT + "i-7", beat(born=17))
    assert isinstance(account, RunnerAccount)
    assert account.runner == RunnerLife("i-7", 17)


@pytest.mark.parametrize(
    ("path", "body", "method", "status"),
    [
        ("/paddleshunt/Instances.Heartbeat/i-7", b"{}", "POST", 400),
        ("/paddleshunt/Instances.Heartbeat/i-7", BEAT, "GET", 405),
        ("/elsewhere", BEAT, "POST", 404),
    ],
    ids=["malformed", "method", "path"],
)
def test_other_requests_are_refused(path: str, body: bytes, method: str, status: int) -> None:
    answer = read(path, body, method)
    assert isinstance(answer, Response)
    assert answer.status == status


def beat(**fields: object) -> bytes:
    """Return a heartbeat with some fields changed, or left out (None)."""
    told = {**json.loads(BEAT), **fields}
    return json.dumps({name: value for name, value in told.items() if value is not None}).encode()


ROOM = {"cpu": 16000, "mem_mb": 32768, "gpu": 1}
BAD_BEATS = {
    "unnamed-state": beat(state="warming"),
    "no-state": beat(state=None),
    "no-capacity": beat(capacity=None),
    "empty-capacity": beat(capacity={}),
    "no-memory": beat(capacity={"cpu": 1}),
    "negative-room": beat(capacity=ROOM | {"cpu": -5}),
    "huge-room": beat(capacity=ROOM | {"cpu": 10**19}),
    "huge-memory": beat(capacity=ROOM | {"mem_mb": 10**40}),
    "room-of-another-type": beat(capacity=[16000, 32768, 1]),
    "empty-service": beat(service=""),
    "no-service": beat(service=None),
    "long-service": beat(service="s" * 5000),
    "service-of-another-type": beat(service=["s"]),
    "empty-zone": beat(zone=""),
    "no-zone": beat(zone=None),
    "no-sequence": beat(sequence=None),
    "sequence-zero": beat(sequence=0),
    "negative-sequence": beat(sequence=-4),
    "huge-sequence": beat(sequence=10**30),
    "cut": BEAT[:-20],
    "no-bytes": b"",
    "no-text": BEAT.replace(b'"s"', b'"\xff\xfe"'),
    "deep": BEAT[:-1] + b',"more":' + b"[" * 100_000,
}


@pytest.mark.parametrize("body", BAD_BEATS.values(), ids=BAD_BEATS.keys())
def test_a_word_that_names_no_runner_to_use_is_refused(body: bytes) -> None:
    answer = read(HEARTBEAT + "i-7", body)
    assert isinstance(answer, Response)
    assert answer.status == 400


ODD_FIELDS: dict[str, tuple[str, object]] = {
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


@pytest.mark.parametrize(("field", "value"), ODD_FIELDS.values(), ids=ODD_FIELDS.keys())
def test_an_odd_field_that_may_be_left_out_is_refused_alone(field: str, value: object) -> None:
    refused: list[Refusal] = []
    request = Request("POST", HEARTBEAT + "i-7", {}, beat(**{field: value}))
    account = Registration(refused.append).read(request)
    assert account == read(HEARTBEAT + "i-7", beat(**{field: None}))
    assert isinstance(account, RunnerAccount) and account.leaving
    assert [(one.word, one.sender) for one in refused] == [(Word.HEARTBEAT, "i-7")]


def test_fields_that_may_be_added_later_are_passed_over() -> None:
    account = read(HEARTBEAT + "i-7", beat(tomorrow={"cpu": [1, None]}, slots="8"))
    assert account == read(HEARTBEAT + "i-7", BEAT)


def test_a_runner_may_say_that_it_has_no_room() -> None:
    account = read(HEARTBEAT + "i-7", beat(capacity={"cpu": 0, "mem_mb": 0}))
    assert isinstance(account, RunnerAccount)
    assert account.capacity == Resources()


@pytest.mark.parametrize("path", [HEARTBEAT, DEREGISTER], ids=["heartbeat", "end"])
@pytest.mark.parametrize(
    "runner",
    ["", "i" * 5000, "i-7/x", "i\x857", "i\xe97", "%0d%0aX: y"],
    ids=["empty", "long", "path", "unprintable", "no-ascii", "encoded"],
)
def test_an_id_that_no_header_can_carry_is_refused(path: str, runner: str) -> None:
    answer = read(path + runner, BEAT)
    assert isinstance(answer, Response)
    assert answer.status == 400


def test_a_refusal_names_the_runner_and_what_is_wrong() -> None:
    refused: list[Refusal] = []
    request = Request("POST", HEARTBEAT + "i-7", {}, beat(state="warming"))
    Registration(refused.append).read(request)
    assert [(one.word, one.sender) for one in refused] == [(Word.HEARTBEAT, "i-7")]
    assert "warming" in refused[0].problem and "state" in refused[0].problem

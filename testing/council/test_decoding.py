"""Property tests: invalid input raises nothing, is refused and hides no valid input."""

import base64
import json
from collections.abc import Callable
from typing import Any

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from paddleshunt_core.leased.catalog import Catalog, Queue
from paddleshunt_core.leased.orders import RunnerStatus
from paddleshunt_core.leased.refusals import Refusal
from paddleshunt_council.callers import MAX_TASKS, HttpCallerCodec
from paddleshunt_council.catalog import CatalogError, read_catalog
from paddleshunt_council.decoding import (
    MAX_LABELS,
    MAX_MEMORY,
    MAX_NUMBER,
    MAX_PROCESSOR,
    is_runner_id,
)
from paddleshunt_council.items import Item, read_entry, read_items
from paddleshunt_council.registration import DEREGISTER, HEARTBEAT, HttpRegistrationCodec
from paddleshunt_council.replies import read_reply
from paddleshunt_node.aio.entryvalidation import MAX_NAME_LENGTH
from paddleshunt_node.aio.httpserver import Request, Response
from paddleshunt_node.aio.ports import RunnerDeregistration, Submission

property_settings = settings(max_examples=100, derandomize=True, database=None, deadline=None)

numbers = st.one_of(
    st.integers(-(10**20), 10**20),
    st.sampled_from([-1, 0, 1, 2**53, 2**63, 2**64, -(2**63), 10**30, 10**400]),
)
texts = st.one_of(
    st.text(max_size=8),
    st.sampled_from(["", "x" * 5000, "\x00", "é", "10.0.0.1:7720", "e30="]),
)
scalars = st.one_of(
    st.none(), st.booleans(), numbers, st.floats(allow_nan=False, allow_infinity=False), texts
)
values = st.recursive(
    scalars,
    lambda inner: st.one_of(
        st.lists(inner, max_size=4), st.dictionaries(st.text(max_size=5), inner, max_size=3)
    ),
    max_leaves=6,
)
Message = dict[str, Any]

HEARTBEAT_BODY: Message = {
    "service": "s",
    "address": "10.0.0.9:8080",
    "zone": "hall",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "cold_remaining_ms": 7,
    "remaining_ms": 5,
    "capacity": {"cpu": 16000, "mem_mb": 32768, "gpu": 0},
    "labels": ["a"],
    "sequence": 4,
    "born": 1764734759000,
}
STEP: Message = {"count": 4, "cpu": 500, "mem_mb": 256, "gpu": 0, "estimated_ms": 900}
JOB: Message = {
    "spec": "text",
    "best_effort": True,
    "steps": [{**STEP, "affinity": "r", "requirements": "a", "anti_affinity": 1}],
}
ROUTE: Message = {
    "name": "r",
    "host": "h",
    "path_prefix": "/q/",
    "service": "s",
    "priority": 0,
    "max_attempts": 3,
    "stretch": 1.6,
    "target_latency_ms": 250,
}
CONFIG: Message = {
    "version": 9,
    "routes": [ROUTE, {**ROUTE, "name": "other"}],
    "services": [{"name": "s", "rejects_overload": True}],
    "limits": {
        "max_header_bytes": 1000,
        "max_body_bytes": 1000,
        "header_timeout_ms": 1000,
        "idle_timeout_ms": 1000,
    },
}
NAME = "5c0e7a21d94b36f8.0.0.7"
REPLY: Message = {
    "clock_ms": 5000,
    "reason": "",
    "born": 1764734759000,
    "running": [[NAME, 2, "", 41, 3], [NAME, 3, "", 5, 3]],
    "finished": [[58, NAME, 1, "done", ""]],
}
ITEM: Message = {
    "key": "op/x",
    "value": "e30=",
    "revision": 5,
    "made": 5,
    "lease": 0,
    "gone": False,
}


def field_paths(message: object, path: tuple[Any, ...] = ()) -> list[tuple[Any, ...]]:
    """Return the paths of all values in a message, its own first."""
    inner = (
        message.items()
        if isinstance(message, dict)
        else enumerate(message if isinstance(message, list) else [])
    )
    return [
        path,
        *(field_path for key, value in inner for field_path in field_paths(value, (*path, key))),
    ]


def replaced(message: Any, field_path: tuple[Any, ...], invalid: object) -> Any:
    """Return a copy of the message with the value at one path replaced."""
    if not field_path:
        return invalid
    key, *rest = field_path
    copy = message.copy()
    copy[key] = replaced(message[key], tuple(rest), invalid)
    return copy


def replacement_for(message: Any, field_path: tuple[Any, ...]) -> st.SearchStrategy[object]:
    """Return a strategy of replacements: any value, or an extreme one of the same type."""
    for key in field_path:
        message = message[key]
    same = {int: numbers, float: numbers, str: texts}.get(type(message), values)
    return st.one_of(values, same)


def corrupted(message: Message) -> st.SearchStrategy[bytes]:
    """Return a strategy of the message's bytes with a field changed, or truncated or corrupted."""
    raw = json.dumps(message).encode()
    replacements = st.sampled_from(field_paths(message)).flatmap(
        lambda field_path: replacement_for(message, field_path).map(
            lambda invalid: json.dumps(replaced(message, field_path, invalid)).encode()
        )
    )
    missing = st.sampled_from(list(message)).map(
        lambda gone: json.dumps({k: v for k, v in message.items() if k != gone}).encode()
    )
    cuts = st.integers(0, len(raw)).map(lambda end: raw[:end])
    flips = st.builds(
        lambda at, byte: raw[:at] + bytes([byte]) + raw[at + 1 :],
        st.integers(0, len(raw) - 1),
        st.integers(0, 255),
    )
    deep = st.sampled_from([b"[", b'{"a":']).map(
        lambda opening: raw[:-1] + b',"more":' + opening * 50_000
    )
    added = values.map(lambda more: json.dumps({**message, "tomorrow": more}).encode())
    return st.one_of(
        replacements, replacements, missing, cuts, flips, st.binary(max_size=20), deep, added
    )


def is_within_bounds(processor: int, memory: int) -> bool:
    return 0 <= processor <= MAX_PROCESSOR and 0 <= memory <= MAX_MEMORY


def check_heartbeat(body: bytes) -> None:
    refused: list[Refusal] = []
    read = HttpRegistrationCodec(refused.append).read(Request("POST", HEARTBEAT + "i-7", {}, body))
    assert refused or not isinstance(read, Response)
    if isinstance(read, RunnerStatus):
        # Each refusal of an accepted heartbeat is of an optional field, which is left out.
        left_out = [read.remaining is None, read.cold == 0, read.labels == ()]
        assert len(refused) <= sum(left_out)
        assert is_within_bounds(read.capacity.processor, read.capacity.memory)
        assert 0 < len(read.service) <= MAX_NAME_LENGTH and 0 < len(read.hall) <= MAX_NAME_LENGTH
        assert 0 < read.sequence <= MAX_NUMBER and len(read.labels) <= MAX_LABELS
        assert read.remaining is None or read.remaining >= 0
        msgspec.msgpack.encode(read.capacity)


@property_settings
@given(st.text(max_size=20), st.sampled_from([HEARTBEAT, DEREGISTER]))
def test_runner_ids(runner: str, path: str) -> None:
    refused: list[Refusal] = []
    body = json.dumps(HEARTBEAT_BODY).encode()
    request = Request("POST", path + runner, {}, body)
    read = HttpRegistrationCodec(refused.append).read(request)
    if isinstance(read, RunnerStatus | RunnerDeregistration):
        assert is_runner_id(read.runner.id) and not refused
    else:
        assert isinstance(read, Response) and read.status == 400 and refused


def check_job(body: bytes, deadline: str = "2500") -> None:
    refused: list[Refusal] = []
    catalog = Catalog(3, [Queue("q", "h", "/q/", "s")], [])
    headers = {"host": "h", "x-deadline-ms": deadline}
    request = Request("POST", "/q/5c0e7a21d94b36f8", headers, body)
    read = HttpCallerCodec(refused.append).read(request, catalog)
    if isinstance(read, Submission):
        need = read.job.need
        assert is_within_bounds(need.processor, need.memory) and not refused
        assert 0 < read.job.count <= MAX_TASKS and 0 <= read.job.deadline <= 60
        assert read.job.estimate > 0 and len(read.job.rack) <= MAX_NAME_LENGTH
        msgspec.msgpack.encode(need)
    else:
        assert read.status in (400, 503) and (read.status == 400) is bool(refused)


def check_configuration(raw: bytes) -> None:
    refused: list[Refusal] = []
    try:
        catalog = read_catalog(raw, refused.append)
    except CatalogError as error:
        assert str(error)
        return
    assert 0 < catalog.version <= MAX_NUMBER
    for queue in catalog.queues:
        assert queue.service and queue.stretch >= 0 and queue.latency >= 0
    assert min(catalog.limits.header_bytes, catalog.limits.body_bytes) > 0
    assert min(catalog.limits.header_timeout, catalog.limits.idle_timeout) > 0
    msgspec.msgpack.encode(catalog)


@property_settings
@given(corrupted(ROUTE))
def test_invalid_route_hides_no_other(route: bytes) -> None:
    try:
        json.loads(route)
    except (ValueError, RecursionError):
        return  # Not JSON: `test_corrupted_messages` covers configurations of such bytes.
    raw = json.dumps(CONFIG).encode().replace(b'"routes": [', b'"routes": [' + route + b",")
    refused: list[Refusal] = []
    names = [queue.name for queue in read_catalog(raw, refused.append).queues]
    assert names[-2:] == ["r", "other"] and len(names) + len(refused) == 3


def check_answer(raw: bytes) -> None:
    refused: list[Refusal] = []
    reply = read_reply(raw, "i-7", refused.append)
    assert reply.clock_ms is None or 0 <= reply.clock_ms <= MAX_NUMBER
    for row in reply.running or ():
        assert row.run >= 0 and 0 <= row.percent <= 100
    for end in reply.finished or ():
        assert end.run >= 0 and 0 <= end.number <= MAX_NUMBER
    if reply.partial:
        assert refused
    elif not refused:
        # A complete answer has all rows that the bytes list.
        decoded = json.loads(raw.decode("utf-8", "replace")) if raw else {}
        assert len(reply.running or ()) == len(decoded.get("running") or ())
        assert len(reply.finished or ()) == len(decoded.get("finished") or ())


@property_settings
@given(values, st.sampled_from(["running", "finished"]))
def test_invalid_row_hides_no_other(invalid: object, name: str) -> None:
    refused: list[Refusal] = []
    raw = json.dumps({**REPLY, name: [invalid, *REPLY[name]]}).encode()
    reply = read_reply(raw, "i-7", refused.append)
    rows = {"running": reply.running, "finished": reply.finished}[name]
    assert rows is not None
    assert len(rows) == len(REPLY[name]) + (not reply.partial)
    assert refused or not reply.partial
    if refused and not reply.partial:
        # The row's task and number were valid, and are kept.
        assert isinstance(invalid, list)
        named = invalid[:2] if name == "running" else invalid[1:3]
        assert [rows[0].task, rows[0].run] == named
    assert reply.unread_end is (reply.partial and name == "finished")
    assert reply.clock_ms == 5000


def check_item(raw: bytes) -> None:
    refused: list[Refusal] = []
    good = msgspec.Raw(json.dumps(ITEM).encode())
    listed = read_items([msgspec.Raw(raw), good], refused.append)
    assert listed.items[-1] == Item("op/x", "e30=", 5)
    assert len(listed.items) + len(refused) == 2
    assert bool(refused) is bool(listed.unreadable)


def base64_value(raw: bytes) -> str:
    return base64.b64encode(raw).decode()


ADDRESS = ["e1", "10.0.0.1:7720", "life"]


@property_settings
@given(
    st.one_of(
        values.map(lambda invalid: base64_value(json.dumps(invalid).encode())),
        st.builds(
            lambda field_path, invalid: base64_value(
                json.dumps(replaced(ADDRESS, (field_path,), invalid)).encode()
            ),
            st.integers(0, 2),
            values,
        ),
        st.binary(max_size=30).map(base64_value),
        st.text(max_size=30),
    )
)
def test_addresses(value: str) -> None:
    refused: list[Refusal] = []
    entry = read_entry(Item("k", value), refused.append)
    assert (entry is None) is bool(refused)
    assert entry is None or 0 < len(entry.name) <= MAX_NAME_LENGTH


@pytest.mark.parametrize(
    "read",
    [
        lambda raw: HttpRegistrationCodec().read(Request("POST", HEARTBEAT + "i", {}, raw)),
        lambda raw: read_reply(raw, "i", lambda _: None),
        lambda raw: read_items([msgspec.Raw(raw)], lambda _: None),
    ],
    ids=["heartbeat", "reply", "item"],
)
@pytest.mark.parametrize("depth", [10, 900, 5_000, 200_000])
def test_deep_nesting_raises_nothing(read: Callable[[bytes], object], depth: int) -> None:
    read(b'{"more":' + b"[" * depth + b"]" * depth + b"}")


@property_settings
@given(st.one_of(st.text(max_size=8), numbers.map(str)))
def test_deadlines(deadline: str) -> None:
    check_job(json.dumps(JOB).encode(), deadline)


CHECKS: dict[str, tuple[Message, Callable[[bytes], None]]] = {
    "heartbeat": (HEARTBEAT_BODY, check_heartbeat),
    "job": (JOB, check_job),
    "configuration": (CONFIG, check_configuration),
    "answer": (REPLY, check_answer),
    "item": (ITEM, check_item),
}


@pytest.mark.parametrize("name", CHECKS)
def test_corrupted_messages(name: str) -> None:
    message, check = CHECKS[name]

    @property_settings
    @given(corrupted(message))
    def checked(raw: bytes) -> None:
        check(raw)

    checked()


INVALID_VALUES: list[object] = [
    *(None, True, "", "x", "x" * 5000, "\x00", [], [[]], ["a"] * 100, {}, {"x": 1}),
    *(-1, 0, 1.5, -1e300, 1e300, 2**53 + 1, 2**63, 2**64, -(2**63) - 1, 10**30, 10**400),
]


@pytest.mark.parametrize("name", CHECKS)
def test_each_field_with_each_invalid_value(name: str) -> None:
    message, check = CHECKS[name]
    for field_path in field_paths(message):
        for invalid in INVALID_VALUES:
            check(json.dumps(replaced(message, field_path, invalid)).encode())


@pytest.mark.parametrize("name", CHECKS)
def test_truncated_messages(name: str) -> None:
    message, check = CHECKS[name]
    raw = json.dumps(message).encode()
    for end in range(len(raw)):
        check(raw[:end])

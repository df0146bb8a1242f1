"""Whatever comes from outside is a statement within bounds or a refusal, and hides nothing else."""

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
from paddleshunt_council.callers import MAX_TASKS, Callers
from paddleshunt_council.catalog import CatalogError, read_catalog
from paddleshunt_council.items import Item, read_entry, read_items
from paddleshunt_council.outside import (
    MOST_LABELS,
    MOST_MEMORY,
    MOST_NUMBER,
    MOST_PROCESSOR,
    is_runner_id,
)
from paddleshunt_council.registration import DEREGISTER, HEARTBEAT, Registration
from paddleshunt_council.replies import read_reply
from paddleshunt_node.aio.entryvalidation import MAX_NAME_LENGTH
from paddleshunt_node.aio.httpserver import Request, Response
from paddleshunt_node.aio.ports import RunnerDeregistration, Submission

quick = settings(max_examples=100, derandomize=True, database=None, deadline=None)

numbers = st.one_of(
    st.integers(-(10**20), 10**20),
    st.sampled_from([-1, 0, 1, 2**53, 2**63, 2**64, -(2**63), 10**30, 10**400]),
)
texts = st.one_of(
    st.text(max_size=8),
    st.sampled_from(["", "x" * 5000, "\x00", "é", "10.0.0.1:7720", "e30="]),
)
leaves = st.one_of(
    st.none(), st.booleans(), numbers, st.floats(allow_nan=False, allow_infinity=False), texts
)
values = st.recursive(
    leaves,
    lambda inner: st.one_of(
        st.lists(inner, max_size=4), st.dictionaries(st.text(max_size=5), inner, max_size=3)
    ),
    max_leaves=6,
)
Word = dict[str, Any]

BEAT: Word = {
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
STEP: Word = {"count": 4, "cpu": 500, "mem_mb": 256, "gpu": 0, "estimated_ms": 900}
JOB: Word = {
    "spec": "text",
    "best_effort": True,
    "steps": [{**STEP, "affinity": "r", "requirements": "a", "anti_affinity": 1}],
}
ROUTE: Word = {
    "name": "r",
    "host": "h",
    "path_prefix": "/q/",
    "service": "s",
    "priority": 0,
    "max_attempts": 3,
    "stretch": 1.6,
    "target_latency_ms": 250,
}
CONFIG: Word = {
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
REPLY: Word = {
    "clock_ms": 5000,
    "reason": "",
    "born": 1764734759000,
    "running": [[NAME, 2, "", 41, 3], [NAME, 3, "", 5, 3]],
    "finished": [[58, NAME, 1, "done", ""]],
}
ITEM: Word = {"key": "op/x", "value": "e30=", "revision": 5, "made": 5, "lease": 0, "gone": False}


def places(word: object, path: tuple[Any, ...] = ()) -> list[tuple[Any, ...]]:
    """Return where something else can be planted."""
    inner = (
        word.items()
        if isinstance(word, dict)
        else enumerate(word if isinstance(word, list) else [])
    )
    return [path, *(place for key, value in inner for place in places(value, (*path, key)))]


def planted(word: Any, place: tuple[Any, ...], odd: object) -> Any:
    """Return the word with something else at one place."""
    if not place:
        return odd
    key, *rest = place
    copy = word.copy()
    copy[key] = planted(word[key], tuple(rest), odd)
    return copy


def odd_for(word: Any, place: tuple[Any, ...]) -> st.SearchStrategy[object]:
    """Return a strategy of what to plant: anything, or something extreme of the same type."""
    for key in place:
        word = word[key]
    same = {int: numbers, float: numbers, str: texts}.get(type(word), values)
    return st.one_of(values, same)


def spoiled(word: Word) -> st.SearchStrategy[bytes]:
    """Return a strategy of the word's bytes with a field of another type, or cut, or spoiled."""
    raw = json.dumps(word).encode()
    plants = st.sampled_from(places(word)).flatmap(
        lambda place: odd_for(word, place).map(
            lambda odd: json.dumps(planted(word, place, odd)).encode()
        )
    )
    missing = st.sampled_from(list(word)).map(
        lambda gone: json.dumps({k: v for k, v in word.items() if k != gone}).encode()
    )
    cuts = st.integers(0, len(raw)).map(lambda end: raw[:end])
    flips = st.builds(
        lambda at, byte: raw[:at] + bytes([byte]) + raw[at + 1 :],
        st.integers(0, len(raw) - 1),
        st.integers(0, 255),
    )
    deep = st.sampled_from([b"[", b'{"a":']).map(
        lambda sign: raw[:-1] + b',"more":' + sign * 50_000
    )
    added = values.map(lambda more: json.dumps({**word, "tomorrow": more}).encode())
    return st.one_of(plants, plants, missing, cuts, flips, st.binary(max_size=20), deep, added)


def in_room(processor: int, memory: int) -> bool:
    return 0 <= processor <= MOST_PROCESSOR and 0 <= memory <= MOST_MEMORY


def check_heartbeat(body: bytes) -> None:
    refused: list[Refusal] = []
    read = Registration(refused.append).read(Request("POST", HEARTBEAT + "i-7", {}, body))
    assert refused or not isinstance(read, Response)
    if isinstance(read, RunnerStatus):
        # What is refused of an account that is followed is not in it.
        left_out = [read.remaining is None, read.cold == 0, read.labels == ()]
        assert len(refused) <= sum(left_out)
        assert in_room(read.capacity.processor, read.capacity.memory)
        assert 0 < len(read.service) <= MAX_NAME_LENGTH and 0 < len(read.hall) <= MAX_NAME_LENGTH
        assert 0 < read.sequence <= MOST_NUMBER and len(read.labels) <= MOST_LABELS
        assert read.remaining is None or read.remaining >= 0
        msgspec.msgpack.encode(read.capacity)


@quick
@given(st.text(max_size=20), st.sampled_from([HEARTBEAT, DEREGISTER]))
def test_ids_of_runners(runner: str, path: str) -> None:
    refused: list[Refusal] = []
    body = json.dumps(BEAT).encode()
    request = Request("POST", path + runner, {}, body)
    read = Registration(refused.append).read(request)
    if isinstance(read, RunnerStatus | RunnerDeregistration):
        assert is_runner_id(read.runner.id) and not refused
    else:
        assert isinstance(read, Response) and read.status == 400 and refused


def check_job(body: bytes, deadline: str = "2500") -> None:
    refused: list[Refusal] = []
    catalog = Catalog(3, [Queue("q", "h", "/q/", "s")], [])
    headers = {"host": "h", "x-deadline-ms": deadline}
    request = Request("POST", "/q/5c0e7a21d94b36f8", headers, body)
    read = Callers(refused.append).read(request, catalog)
    if isinstance(read, Submission):
        need = read.job.need
        assert in_room(need.processor, need.memory) and not refused
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
    assert 0 < catalog.version <= MOST_NUMBER
    for queue in catalog.queues:
        assert queue.service and queue.stretch >= 0 and queue.latency >= 0
    assert min(catalog.limits.header_bytes, catalog.limits.body_bytes) > 0
    assert min(catalog.limits.header_timeout, catalog.limits.idle_timeout) > 0
    msgspec.msgpack.encode(catalog)


@quick
@given(spoiled(ROUTE))
def test_a_route_hides_no_other(route: bytes) -> None:
    try:
        json.loads(route)
    except (ValueError, RecursionError):
        return  # Such bytes are no part of a configuration: `test_configurations` has them.
    raw = json.dumps(CONFIG).encode().replace(b'"routes": [', b'"routes": [' + route + b",")
    refused: list[Refusal] = []
    names = [queue.name for queue in read_catalog(raw, refused.append).queues]
    assert names[-2:] == ["r", "other"] and len(names) + len(refused) == 3


def check_answer(raw: bytes) -> None:
    refused: list[Refusal] = []
    reply = read_reply(raw, "i-7", refused.append)
    assert reply.clock_ms is None or 0 <= reply.clock_ms <= MOST_NUMBER
    for row in reply.running or ():
        assert row.run >= 0 and 0 <= row.percent <= 100
    for end in reply.finished or ():
        assert end.run >= 0 and 0 <= end.number <= MOST_NUMBER
    if reply.partial:
        assert refused
    elif not refused:
        # What an answer lists is all there, or it says that something is missing.
        told = json.loads(raw.decode("utf-8", "replace")) if raw else {}
        assert len(reply.running or ()) == len(told.get("running") or ())
        assert len(reply.finished or ()) == len(told.get("finished") or ())


@quick
@given(values, st.sampled_from(["running", "finished"]))
def test_a_row_hides_no_other(odd: object, name: str) -> None:
    refused: list[Refusal] = []
    raw = json.dumps({**REPLY, name: [odd, *REPLY[name]]}).encode()
    reply = read_reply(raw, "i-7", refused.append)
    rows = {"running": reply.running, "finished": reply.finished}[name]
    assert rows is not None
    assert len(rows) == len(REPLY[name]) + (not reply.partial)
    assert refused or not reply.partial
    if refused and not reply.partial:
        # It is named in full, and its name is the row's.
        assert isinstance(odd, list)
        named = odd[:2] if name == "running" else odd[1:3]
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


def as_value(raw: bytes) -> str:
    return base64.b64encode(raw).decode()


ADDRESS = ["e1", "10.0.0.1:7720", "life"]


@quick
@given(
    st.one_of(
        values.map(lambda odd: as_value(json.dumps(odd).encode())),
        st.builds(
            lambda place, odd: as_value(json.dumps(planted(ADDRESS, (place,), odd)).encode()),
            st.integers(0, 2),
            values,
        ),
        st.binary(max_size=30).map(as_value),
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
        lambda raw: Registration().read(Request("POST", HEARTBEAT + "i", {}, raw)),
        lambda raw: read_reply(raw, "i", lambda _: None),
        lambda raw: read_items([msgspec.Raw(raw)], lambda _: None),
    ],
    ids=["heartbeat", "reply", "item"],
)
@pytest.mark.parametrize("depth", [10, 900, 5_000, 200_000])
def test_nesting_of_any_depth_is_borne(read: Callable[[bytes], object], depth: int) -> None:
    read(b'{"more":' + b"[" * depth + b"]" * depth + b"}")


@quick
@given(st.one_of(st.text(max_size=8), numbers.map(str)))
def test_deadlines(deadline: str) -> None:
    check_job(json.dumps(JOB).encode(), deadline)


CHECKS: dict[str, tuple[Word, Callable[[bytes], None]]] = {
    "heartbeat": (BEAT, check_heartbeat),
    "job": (JOB, check_job),
    "configuration": (CONFIG, check_configuration),
    "answer": (REPLY, check_answer),
    "item": (ITEM, check_item),
}


@pytest.mark.parametrize("name", CHECKS)
def test_spoiled_words(name: str) -> None:
    word, check = CHECKS[name]

    @quick
    @given(spoiled(word))
    def checked(raw: bytes) -> None:
        check(raw)

    checked()


ODD: list[object] = [
    *(None, True, "", "x", "x" * 5000, "\x00", [], [[]], ["a"] * 100, {}, {"x": 1}),
    *(-1, 0, 1.5, -1e300, 1e300, 2**53 + 1, 2**63, 2**64, -(2**63) - 1, 10**30, 10**400),
]


@pytest.mark.parametrize("name", CHECKS)
def test_each_field_with_each_odd_value(name: str) -> None:
    word, check = CHECKS[name]
    for place in places(word):
        for odd in ODD:
            check(json.dumps(planted(word, place, odd)).encode())


@pytest.mark.parametrize("name", CHECKS)
def test_words_cut_anywhere(name: str) -> None:
    word, check = CHECKS[name]
    raw = json.dumps(word).encode()
    for end in range(len(raw)):
        check(raw[:end])

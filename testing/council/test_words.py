"""Words of other writers at the running processes: what good words said holds, and work goes on."""

import asyncio
import json
from collections.abc import Mapping
from time import monotonic

import msgspec
import pytest
from councilsystem import BEAT, System, WorkingRunner, call, play, until_true
from paddleshunt_core.leased.resources import NOTHING
from paddleshunt_core.leased.wire import Entries, EntryAddress, Frame, Hello
from paddleshunt_node.aio.httpclient import HttpClient
from paddleshunt_node.aio.targetservice import POLL_RETRY_SECONDS

KEY = "5c0e7a21d94b36f8"
HEARTBEAT = "/paddleshunt/Instances.Heartbeat/"
SHOWN = ("runner", "state", "free", "sessions")


def heartbeat(**fields: object) -> bytes:
    told = {**json.loads(BEAT), "sequence": 50, **fields}
    return json.dumps({name: value for name, value in told.items() if value is not None}).encode()


async def works(system: System) -> None:
    """See that both processes live, and that a job is done."""
    system.check_runs()
    answer = await system.submit(KEY, 50)
    assert answer.status == 200
    system.check_runs()


async def figures(system: System, process: str) -> str:
    around = system.target_around if process == "target" else system.entry_around
    return around.metrics.page().decode()


@pytest.mark.parametrize(
    ("runner", "fields"),
    [
        ("i-1", {"capacity": None}),
        ("i-1", {"capacity": {"cpu": -5, "mem_mb": -5}}),
        ("i-1", {"capacity": {"cpu": 10**19, "mem_mb": 10**40}}),
        ("i-1", {"state": "warming"}),
        ("i-1", {"service": ""}),
        ("i-1", {"service": "s" * 9999}),
        ("i-1", {"service": "another"}),
        ("i-1", {"sequence": None, "state": "draining"}),
        ("i-1", {"remaining_ms": 10**400}),
        ("i%0d%0a", {}),
        ("i\x85", {}),
    ],
    ids=[
        "no-room",
        "negative",
        "huge",
        "state",
        "no-service",
        "long-service",
        "unknown-service",
        "no-sequence",
        "endless",
        "id",
        "unprintable-id",
    ],
)
def test_a_bad_heartbeat_changes_nothing(runner: str, fields: Mapping[str, object]) -> None:
    async def scene(system: System) -> None:
        await system.open()
        before = system.target.describe()
        await raw_call(system.registration, HEARTBEAT + runner, heartbeat(**fields))
        await asyncio.sleep(0.5)
        after = system.target.describe()
        assert [after[name] for name in SHOWN] == [before[name] for name in SHOWN]
        await works(system)

    play(scene)


def test_a_refused_heartbeat_is_counted() -> None:
    async def scene(system: System) -> None:
        await system.open()
        for _ in range(3):
            body = heartbeat(state="warming")
            answer = await call(system.registration, "POST", HEARTBEAT + "i-1", body)
            assert answer.status == 400
        assert 'paddleshunt_words_refused_total{word="heartbeat"} 3' in await figures(
            system, "target"
        )

    play(scene)


@pytest.mark.parametrize(
    "number", ["9" * 30, "9" * 400, "-1"], ids=["no-frame-holds-it", "endless", "negative"]
)
def test_a_caller_whose_job_needs_more_than_there_is_takes_no_entry_down(number: str) -> None:
    async def scene(system: System) -> None:
        await system.open()
        for field in ("cpu", "mem_mb", "gpu", "estimated_ms"):
            step = {"count": 1, "cpu": 1, "mem_mb": 1, "gpu": 0, "estimated_ms": 5, field: "@"}
            job = json.dumps({"spec": "5", "steps": [step], "best_effort": True})
            body = job.replace('"@"', number).encode()
            answer = await HttpClient(system.callers).call(
                "POST", "/q/00000000000000aa", 5.0, body, (("X-Deadline-Ms", "500"),)
            )
            # An estimate is only a guess: one below zero is none, and the task is done.
            assert answer.status == (200 if (field, number) == ("estimated_ms", "-1") else 400)
        await works(system)

    play(scene)


def test_an_end_that_can_never_be_read_does_not_have_the_runner_asked_all_the_time() -> None:
    async def scene(system: System) -> None:
        await system.open()
        looked = type(system.runner).answer
        looks: list[float] = []

        def answer(
            path: str, asked: dict[str, object], headers: dict[str, str]
        ) -> tuple[int, object] | None:
            if path.endswith("/hold"):
                looks.append(monotonic())
            answered = looked(system.runner, path, asked, headers)
            if path.endswith("/hold") and answered is not None and answered[0] == 200:
                content = dict(answered[1])  # type: ignore[call-overload]
                return 200, {**content, "finished": [["x", "y"]]}
            return answered

        system.runner.answer = answer  # type: ignore[method-assign]
        await until_true(lambda: len(looks) == 8)
        assert looks[-1] - looks[1] >= 6 * POLL_RETRY_SECONDS

    play(scene)


def list_odd_rows(runner: WorkingRunner) -> None:
    """Let the runner list rows that can't be read beside what is at work from now on."""
    looked = type(runner).answer
    odd: list[object] = [["a.b.c.d", 1, "", 5], ["short"], 5]

    def answer(
        path: str, asked: dict[str, object], headers: dict[str, str]
    ) -> tuple[int, object] | None:
        answered = looked(runner, path, asked, headers)
        if path.endswith("/hold") and answered is not None and answered[0] == 200:
            content = dict(answered[1])  # type: ignore[call-overload]
            content["running"] = [*odd, *content["running"]]
            return 200, content
        return answered

    runner.answer = answer  # type: ignore[method-assign]


def has_room(system: System) -> bool:
    """Whether the entry knows of room on the runner."""
    (target,) = system.entry._dispatcher.targets()
    return target.free != NOTHING


def test_an_odd_row_of_the_runner_takes_no_target_down() -> None:
    async def scene(system: System) -> None:
        await system.open()
        await until_true(lambda: has_room(system))
        list_odd_rows(system.runner)
        await asyncio.sleep(0.2)
        await works(system)
        assert 'words_refused_total{word="runner_answer"}' in await figures(system, "target")

    play(scene)


def test_odd_rows_from_the_first_look_on_take_no_target_down() -> None:
    async def scene(system: System) -> None:
        list_odd_rows(system.runner)
        await system.open()
        await until_true(lambda: has_room(system))
        await works(system)

    play(scene)


def test_an_address_that_another_entry_tells_wrongly_is_refused_and_the_others_hold() -> None:
    async def scene(system: System) -> None:
        await system.open()
        host, _, port = system.peers.rpartition(":")
        _, writer = await asyncio.open_connection(host, int(port))
        odd = [EntryAddress("odd", text) for text in ("10.0.0.1", "10.0.0.1:port", ":::", "é:1")]
        entries = Entries([*odd, EntryAddress("e2", "127.0.0.1:1")])
        for message in (
            Hello("e9", "life", True, "hall", "127.0.0.1:1", 0, 0),
            Frame(1, 0, 0, 0, [entries]),
        ):
            raw = msgspec.msgpack.encode(message)
            writer.write(len(raw).to_bytes(4, "big") + raw)
        await until_true(lambda: "127.0.0.1:1" in system.entry._peers._dialer._wanted)
        assert set(system.entry._peers._dialer._wanted) == {"127.0.0.1:1"}
        assert 'words_refused_total{word="address"} 4' in await figures(system, "entry")
        writer.close()
        await works(system)

    play(scene)


@pytest.mark.parametrize("message", [b"\x93\x01", b"\x91" * 9999], ids=["cut", "deep"])
def test_bytes_that_are_no_message_are_counted(message: bytes) -> None:
    async def scene(system: System) -> None:
        await system.open()
        host, _, port = system.peers.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(len(message).to_bytes(4, "big") + message)
        assert await reader.read() == b""
        assert 'words_refused_total{word="greeting"} 1' in await figures(system, "entry")
        await works(system)

    play(scene)


async def raw_call(address: str, path: str, body: bytes) -> None:
    """POST to a path that may hold any sign."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    head = f"POST {path} HTTP/1.1\r\nHost: h\r\nContent-Length: {len(body)}\r\n\r\n"
    writer.write(head.encode("latin-1") + body)
    assert (await reader.readline()).startswith(b"HTTP/1.1 ")
    writer.close()

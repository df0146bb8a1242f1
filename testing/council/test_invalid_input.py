"""Invalid input to running processes changes no valid state and stops no process."""

import asyncio
import json
from collections.abc import Mapping
from time import monotonic

import msgspec
import pytest
from councilsystem import BEAT, System, WorkingRunner, call, play, until_true
from paddleshunt_core.leased.resources import NO_RESOURCES
from paddleshunt_core.leased.wire import Entries, EntryAddress, Frame, Hello
from paddleshunt_node.aio.httpclient import HttpClient
from paddleshunt_node.aio.targetservice import POLL_RETRY_SECONDS

KEY = "5c0e7a21d94b36f8"
HEARTBEAT = "/paddleshunt/Instances.Heartbeat/"
COMPARED_FIELDS = ("runner", "state", "free", "sessions")


def heartbeat(**fields: object) -> bytes:
    body = {**json.loads(BEAT), "sequence": 50, **fields}
    return json.dumps({name: value for name, value in body.items() if value is not None}).encode()


async def check_job_runs(system: System) -> None:
    """Check that both processes run and that a job completes."""
    system.check_runs()
    answer = await system.submit(KEY, 50)
    assert answer.status == 200
    system.check_runs()


async def metrics_page(system: System, process: str) -> str:
    context = system.target_around if process == "target" else system.entry_around
    return context.metrics.page().decode()


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
        "no-capacity",
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
def test_invalid_heartbeat_changes_nothing(runner: str, fields: Mapping[str, object]) -> None:
    async def scene(system: System) -> None:
        await system.open()
        before = system.target.describe()
        await post_raw_path(system.registration, HEARTBEAT + runner, heartbeat(**fields))
        await asyncio.sleep(0.5)
        after = system.target.describe()
        assert [after[name] for name in COMPARED_FIELDS] == [
            before[name] for name in COMPARED_FIELDS
        ]
        await check_job_runs(system)

    play(scene)


def test_refused_heartbeat_is_counted() -> None:
    async def scene(system: System) -> None:
        await system.open()
        for _ in range(3):
            body = heartbeat(state="warming")
            answer = await call(system.registration, "POST", HEARTBEAT + "i-1", body)
            assert answer.status == 400
        assert 'paddleshunt_words_refused_total{word="heartbeat"} 3' in await metrics_page(
            system, "target"
        )

    play(scene)


@pytest.mark.parametrize(
    "number", ["9" * 30, "9" * 400, "-1"], ids=["too-large-for-a-frame", "huge", "negative"]
)
def test_job_with_extreme_numbers_does_not_stop_the_entry(number: str) -> None:
    async def scene(system: System) -> None:
        await system.open()
        for field in ("cpu", "mem_mb", "gpu", "estimated_ms"):
            step = {"count": 1, "cpu": 1, "mem_mb": 1, "gpu": 0, "estimated_ms": 5, field: "@"}
            job = json.dumps({"spec": "5", "steps": [step], "best_effort": True})
            body = job.replace('"@"', number).encode()
            answer = await HttpClient(system.callers).call(
                "POST", "/q/00000000000000aa", 5.0, body, (("X-Deadline-Ms", "500"),)
            )
            # A negative estimate counts as none, and the task runs.
            assert answer.status == (200 if (field, number) == ("estimated_ms", "-1") else 400)
        await check_job_runs(system)

    play(scene)


def test_unreadable_end_does_not_cause_constant_polling() -> None:
    async def scene(system: System) -> None:
        await system.open()
        original_answer = type(system.runner).answer
        poll_times: list[float] = []

        def answer(
            path: str, asked: dict[str, object], headers: dict[str, str]
        ) -> tuple[int, object] | None:
            if path.endswith("/hold"):
                poll_times.append(monotonic())
            status_and_content = original_answer(system.runner, path, asked, headers)
            if (
                path.endswith("/hold")
                and status_and_content is not None
                and status_and_content[0] == 200
            ):
                content = dict(status_and_content[1])  # type: ignore[call-overload]
                return 200, {**content, "finished": [["x", "y"]]}
            return status_and_content

        system.runner.answer = answer  # type: ignore[method-assign]
        await until_true(lambda: len(poll_times) == 8)
        assert poll_times[-1] - poll_times[1] >= 6 * POLL_RETRY_SECONDS

    play(scene)


def add_invalid_rows(runner: WorkingRunner) -> None:
    """Make the runner add invalid rows to its running tasks from now on."""
    original_answer = type(runner).answer
    invalid_rows: list[object] = [["a.b.c.d", 1, "", 5], ["short"], 5]

    def answer(
        path: str, asked: dict[str, object], headers: dict[str, str]
    ) -> tuple[int, object] | None:
        status_and_content = original_answer(runner, path, asked, headers)
        if (
            path.endswith("/hold")
            and status_and_content is not None
            and status_and_content[0] == 200
        ):
            content = dict(status_and_content[1])  # type: ignore[call-overload]
            content["running"] = [*invalid_rows, *content["running"]]
            return 200, content
        return status_and_content

    runner.answer = answer  # type: ignore[method-assign]


def has_capacity(system: System) -> bool:
    """Whether the entry has learned of free resources on the runner."""
    (target,) = system.entry._dispatcher.targets()
    return target.free != NO_RESOURCES


def test_invalid_row_does_not_stop_the_target() -> None:
    async def scene(system: System) -> None:
        await system.open()
        await until_true(lambda: has_capacity(system))
        add_invalid_rows(system.runner)
        await asyncio.sleep(0.2)
        await check_job_runs(system)
        assert 'words_refused_total{word="runner_answer"}' in await metrics_page(system, "target")

    play(scene)


def test_invalid_rows_from_the_first_poll_do_not_stop_the_target() -> None:
    async def scene(system: System) -> None:
        add_invalid_rows(system.runner)
        await system.open()
        await until_true(lambda: has_capacity(system))
        await check_job_runs(system)

    play(scene)


def test_invalid_address_from_a_peer_is_refused_and_the_others_are_kept() -> None:
    async def scene(system: System) -> None:
        await system.open()
        host, _, port = system.peers.rpartition(":")
        _, writer = await asyncio.open_connection(host, int(port))
        invalid_addresses = [
            EntryAddress("invalid", text) for text in ("10.0.0.1", "10.0.0.1:port", ":::", "é:1")
        ]
        entries = Entries([*invalid_addresses, EntryAddress("e2", "127.0.0.1:1")])
        for message in (
            Hello("e9", "life", True, "hall", "127.0.0.1:1", 0, 0),
            Frame(1, 0, 0, 0, [entries]),
        ):
            raw = msgspec.msgpack.encode(message)
            writer.write(len(raw).to_bytes(4, "big") + raw)
        await until_true(lambda: "127.0.0.1:1" in system.entry._peers._dialer._wanted)
        assert set(system.entry._peers._dialer._wanted) == {"127.0.0.1:1"}
        assert 'words_refused_total{word="address"} 4' in await metrics_page(system, "entry")
        writer.close()
        await check_job_runs(system)

    play(scene)


@pytest.mark.parametrize("message", [b"\x93\x01", b"\x91" * 9999], ids=["cut", "deep"])
def test_invalid_message_bytes_are_counted(message: bytes) -> None:
    async def scene(system: System) -> None:
        await system.open()
        host, _, port = system.peers.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(len(message).to_bytes(4, "big") + message)
        assert await reader.read() == b""
        assert 'words_refused_total{word="greeting"} 1' in await metrics_page(system, "entry")
        await check_job_runs(system)

    play(scene)


async def post_raw_path(address: str, path: str, body: bytes) -> None:
    """POST to a path that may have any characters."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    head = f"POST {path} HTTP/1.1\r\nHost: h\r\nContent-Length: {len(body)}\r\n\r\n"
    writer.write(head.encode("latin-1") + body)
    assert (await reader.readline()).startswith(b"HTTP/1.1 ")
    writer.close()

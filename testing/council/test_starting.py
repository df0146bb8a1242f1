"""Tests of a starting process: when it listens, and which entries a target connects to."""

import asyncio
import socket
import sys
from collections.abc import Iterator
from pathlib import Path
from types import ModuleType

import pytest
from councilsystem import System, play, until_true
from paddleshunt_core.leased.entrychoice import MAX_SESSIONS
from paddleshunt_core.leased.wire import EntryAddress
from paddleshunt_council import starting
from paddleshunt_node.aio import targetservice
from paddleshunt_platform.standins.ports import free_port
from templates import filled

LISTEN_KEYS = {"entry": "listen.frontend", "target": "listen.control"}


@pytest.fixture
def connected(monkeypatch: pytest.MonkeyPatch) -> Iterator[list[bool]]:
    """Whether the process accepted a connection each time that `processes.run` was called."""
    results: list[bool] = []
    fake = ModuleType("paddleshunt_council.processes")

    def run(settings: object, file: Path, *rest: object) -> None:
        listen = settings.listen  # type: ignore[attr-defined]
        host, _, port = (listen.callers or listen.runner).rpartition(":")
        with socket.socket() as client:
            results.append(client.connect_ex((host, int(port))) == 0)

    fake.run = run  # type: ignore[attr-defined]
    monkeypatch.setitem(sys.modules, fake.__name__, fake)
    yield results


@pytest.mark.parametrize("role", ["entry", "target"])
def test_process_listens_before_most_imports(
    role: str, tmp_path: Path, connected: list[bool]
) -> None:
    """Callers that connect during the imports, such as after a power loss, must not be rejected."""
    file = tmp_path / "local.toml"
    peers = {"internal_ports.0": free_port()}
    file.write_text(filled(role, **{LISTEN_KEYS[role]: f"127.0.0.1:{free_port()}"}, **peers))
    assert starting.start(role, file) == 0
    assert connected == [True]


def test_target_without_reachable_seeds_reads_entries_from_the_store(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """After a power loss the seeds may be slower to start than this target."""
    monkeypatch.setattr(targetservice, "STORE_LOOKUP_SECONDS", 1000.0)

    async def scene(system: System) -> None:
        await system.open()
        await asyncio.wait_for(until_true(lambda: bool(system.target._entry_links)), 10)

    system = System()
    system.seeds = ()
    play(scene, system)


def test_target_connects_to_a_limited_number_of_entries() -> None:
    """All targets of a large fleet may ask at once; no entry may get all their connections."""
    announced = [EntryAddress(f"e{n}", f"127.0.0.1:{n}", "life") for n in range(1, 40)]

    async def entries() -> list[EntryAddress]:
        return announced

    async def scene(system: System) -> None:
        system.target._store.entries = entries  # type: ignore[method-assign]
        await system.target._dial_stored_entries()
        dialed = system.target._dialer._wanted.keys() - {system.peers}
        assert len(dialed) == MAX_SESSIONS
        assert dialed <= {entry.address for entry in announced}

    play(scene)

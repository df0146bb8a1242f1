"""A process that starts: whom it keeps waiting, and whom it turns away."""

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

LISTENS = {"entry": "listen.frontend", "target": "listen.control"}


@pytest.fixture
def reached(monkeypatch: pytest.MonkeyPatch) -> Iterator[list[bool]]:
    """Whether an address could be reached when the rest of the program was about to run."""
    found: list[bool] = []
    fake = ModuleType("paddleshunt_council.processes")

    def run(settings: object, file: Path, *rest: object) -> None:
        listen = settings.listen  # type: ignore[attr-defined]
        host, _, port = (listen.callers or listen.runner).rpartition(":")
        with socket.socket() as client:
            found.append(client.connect_ex((host, int(port))) == 0)

    fake.run = run  # type: ignore[attr-defined]
    monkeypatch.setitem(sys.modules, fake.__name__, fake)
    yield found


@pytest.mark.parametrize("role", ["entry", "target"])
def test_it_listens_before_the_rest_of_the_program_is_imported(
    role: str, tmp_path: Path, reached: list[bool]
) -> None:
    """All hosts are back from a loss of power; who calls meanwhile would be turned away."""
    file = tmp_path / "local.toml"
    peers = {"internal_ports.0": free_port()}
    file.write_text(filled(role, **{LISTENS[role]: f"127.0.0.1:{free_port()}"}, **peers))
    assert starting.start(role, file) == 0
    assert reached == [True]


def test_a_target_whose_seeds_do_not_answer_soon_asks_the_store_for_entries(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """All hosts are back from a loss of power, and the seeds are not the first."""
    monkeypatch.setattr(targetservice, "STORE_LOOKUP_SECONDS", 1000.0)

    async def scene(system: System) -> None:
        await system.open()
        await asyncio.wait_for(until_true(lambda: bool(system.target._entry_links)), 10)

    system = System()
    system.seeds = ()
    play(scene, system)


def test_a_target_dials_only_some_of_the_entries_that_the_store_knows() -> None:
    """All targets of a large fleet ask at once; each entry is to meet its share of them."""
    announced = [EntryAddress(f"e{n}", f"127.0.0.1:{n}", "life") for n in range(1, 40)]

    async def entries() -> list[EntryAddress]:
        return announced

    async def scene(system: System) -> None:
        system.target._store.entries = entries  # type: ignore[method-assign]
        await system.target._dial_stored_entries()
        dialled = system.target._dialer._wanted.keys() - {system.peers}
        assert len(dialled) == MAX_SESSIONS
        assert dialled <= {entry.address for entry in announced}

    play(scene)

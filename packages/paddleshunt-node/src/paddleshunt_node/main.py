"""The command line of `paddleshuntd`."""

import signal
import sys
from collections.abc import Callable
from pathlib import Path
from threading import Event
from typing import Protocol, TypeVar

import click
from paddleshunt_platform import settings

from paddleshunt_node import logs
from paddleshunt_node.tlsimports import block_tls_imports

EXIT_INVALID_SETTINGS = 2
"""Exit status for invalid settings."""

EXIT_CANNOT_START = 1
"""Exit status if a listening socket can't be opened."""

LEAVE_TIMEOUT_SECONDS = 120.0
"""Time that a leaving process waits for its requests to finish."""

LEASED_TABLE = "process"
"""Table that only settings files of processes for leased jobs have."""

_File = TypeVar("_File")
_FILE = click.Path(path_type=Path, dir_okay=False)


class _Process(Protocol):
    def start(self) -> None: ...

    def leave(self, patience: float) -> None: ...


@click.group()
def main() -> None:
    """Run a process of paddleshunt."""


@main.command()
@click.option("--settings", "file", type=_FILE, required=True, help="TOML file.")
def entry(file: Path) -> None:
    """Run an entry: the HTTP server for callers and operators."""
    loaded = _load_or_exit(lambda: settings.load_entry(file))
    block_tls_imports([loaded.platform.store, loaded.platform.hosts])
    from paddleshunt_node.entryprocess import EntryProcess

    logs.set_up(loaded.log.level)
    _serve(lambda: EntryProcess(loaded))


@main.command()
@click.option("--settings", "file", type=_FILE, required=True, help="TOML file.")
def target(file: Path) -> None:
    """Run a target: the process beside one runner."""
    loaded = _load_or_exit(lambda: settings.load_target(file))
    block_tls_imports([loaded.platform.hosts, loaded.runner.url])
    from paddleshunt_node.targetprocess import TargetProcess

    logs.set_up(loaded.log.level)
    _serve(lambda: TargetProcess(loaded))


@main.command("check-settings")
@click.argument("file", type=_FILE)
def check_settings(file: Path) -> None:
    """Check a settings file, also one for leased jobs, without starting a process."""
    _load_or_exit(lambda: _load_any(file))
    click.echo(f"{file}: ok")


@main.command()
@click.option("--out", type=click.Path(path_type=Path, file_okay=False), default=Path("demo-out"))
@click.option("--examples", type=click.Path(path_type=Path, exists=True), default=Path("examples"))
def demo(out: Path, examples: Path) -> None:
    """Try the whole system in one process, with one job of each example."""
    from paddleshunt_node.demo import run_demo

    logs.set_up("warning")
    sys.exit(run_demo(out, examples))


def _load_any(file: Path) -> object:
    if LEASED_TABLE in settings.read_tables(file):
        from paddleshunt_platform.leasedsettings import load_leased

        return load_leased(file)
    return settings.load_either(file)


def _load_or_exit(load: Callable[[], _File]) -> _File:
    try:
        return load()
    except settings.SettingsError as problem:
        click.echo(f"paddleshuntd: {problem}", err=True)
        sys.exit(EXIT_INVALID_SETTINGS)


def _serve(make: Callable[[], _Process]) -> None:
    """Run a process until SIGTERM or SIGINT, then let it leave."""
    stop_requested = Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stop_requested.set())
    try:
        process = make()
        process.start()
    except OSError as problem:
        click.echo(f"paddleshuntd: can't start: {problem}", err=True)
        sys.exit(EXIT_CANNOT_START)
    stop_requested.wait()
    process.leave(LEAVE_TIMEOUT_SECONDS)

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

BAD_SETTINGS = 2
"""Exit status when the settings can't be used."""

CANNOT_START = 1
"""Exit status when an address can't be listened on."""

PATIENCE = 120.0
"""Seconds that a leaving process gives its requests to finish."""

LEASED_TABLE = "process"
"""Table that only the settings of processes for leased jobs have."""

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
    """Run an entry: the HTTP side for callers and operators."""
    chosen = _checked(lambda: settings.load_entry(file))
    block_tls_imports([chosen.platform.store, chosen.platform.hosts])
    from paddleshunt_node.entryprocess import EntryProcess

    logs.set_up(chosen.log.level)
    _serve(lambda: EntryProcess(chosen))


@main.command()
@click.option("--settings", "file", type=_FILE, required=True, help="TOML file.")
def target(file: Path) -> None:
    """Run a target: the process beside one runner."""
    chosen = _checked(lambda: settings.load_target(file))
    block_tls_imports([chosen.platform.hosts, chosen.runner.url])
    from paddleshunt_node.targetprocess import TargetProcess

    logs.set_up(chosen.log.level)
    _serve(lambda: TargetProcess(chosen))


@main.command("check-settings")
@click.argument("file", type=_FILE)
def check_settings(file: Path) -> None:
    """Check a settings file without starting anything: of the own interface or of leased jobs."""
    _checked(lambda: _load_any(file))
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


def _checked(load: Callable[[], _File]) -> _File:
    try:
        return load()
    except settings.SettingsError as problem:
        click.echo(f"paddleshuntd: {problem}", err=True)
        sys.exit(BAD_SETTINGS)


def _serve(make: Callable[[], _Process]) -> None:
    """Run until SIGTERM or SIGINT, then leave."""
    told = Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: told.set())
    try:
        process = make()
        process.start()
    except OSError as problem:
        click.echo(f"paddleshuntd: can't start: {problem}", err=True)
        sys.exit(CANNOT_START)
    told.wait()
    process.leave(PATIENCE)

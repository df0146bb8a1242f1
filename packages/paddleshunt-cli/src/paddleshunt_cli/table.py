"""`paddleshunt table`: show, check, compare and apply the operators' table."""

import secrets
import time
from pathlib import Path

import click
import msgspec
from paddleshunt_core.table import EMPTY_TABLE, EditConflict, Row, RowChange, TableDocument, changes
from paddleshunt_platform.etcd import EtcdStore
from paddleshunt_platform.tableedit import (
    Applied,
    NotApplied,
    OutcomeUnknown,
    apply_edit,
    read_table,
)
from paddleshunt_platform.tablefile import TableError, TableFile, format_table, parse_table

from paddleshunt_cli.entries import EntryClient, EntryError, newest_table
from paddleshunt_cli.options import entries_option, store_option

EXIT_INVALID_TABLE = 2
EXIT_CONFLICT = 3
EXIT_NOT_APPLIED = 4
EXIT_OUTCOME_UNKNOWN = 5
EXIT_NOT_IN_FORCE = 6

_FILE = click.Path(path_type=Path, dir_okay=False)


@click.group()
def table() -> None:
    """Edit the table of weights and limits."""


@table.command()
@store_option
@entries_option
def show(store: str, entries: tuple[str, ...]) -> None:
    """Print the table as CSV, with the revision to edit from."""
    click.echo(format_table(_current_table(store, entries)), nl=False)


@table.command()
@click.argument("file", type=_FILE)
def check(file: Path) -> None:
    """Check a table file without applying it."""
    rows = _read_file(file).rows
    click.echo(f"{file}: ok, {len(rows)} rows")


@table.command()
@click.argument("file", type=_FILE)
@store_option
@entries_option
def diff(file: Path, store: str, entries: tuple[str, ...]) -> None:
    """Print what applying a file would change."""
    edited = _read_file(file)
    _print_changes(changes(_current_table(store, entries).rows, edited.rows))


@table.command()
@click.argument("file", type=_FILE)
@click.option("--base", type=int, help="Revision the file was made from, if it doesn't state one.")
@click.option("--key", envvar="PADDLESHUNT_KEY", default="", help="The operators' key.")
@click.option("--drop", multiple=True, metavar="SERVICE", help="Let a service lose all its rows.")
@click.option("--wait", default=11.0, show_default=True, help="Seconds to wait for all targets.")
@store_option
@entries_option
def apply(
    file: Path,
    base: int | None,
    drop: tuple[str, ...],
    key: str,
    wait: float,
    store: str,
    entries: tuple[str, ...],
) -> None:
    """Apply a table file, and report where it is in force."""
    edited = _read_file(file)
    revision = edited.base if base is None else base
    if revision is None:
        raise click.UsageError("the file states no base revision; give --base")
    _check_services(file, edited.rows, _current_table(store, entries).rows, drop)
    clients = [EntryClient(url, key) for url in entries]
    edit = secrets.token_hex(8)
    in_force = newest_table(clients)
    outcome = apply_edit(EtcdStore(store), edited.rows, revision, edit, in_force)
    match outcome:
        case Applied(document):
            click.echo(f"accepted as revision {document.revision}")
            _send_table(clients, document)
            _exit_unless_in_force(clients, document.revision, wait)
        case EditConflict():
            _report_conflict(outcome)
        case NotApplied(reason):
            click.echo(f"not applied: {reason}", err=True)
            raise SystemExit(EXIT_NOT_APPLIED)
        case OutcomeUnknown(name, reason):
            click.echo(f"not known whether it was applied (edit {name}): {reason}", err=True)
            raise SystemExit(EXIT_OUTCOME_UNKNOWN)


@table.command()
@entries_option
def status(entries: tuple[str, ...]) -> None:
    """Print which revision each entry and target follows."""
    clients = [EntryClient(url) for url in entries]
    newest = newest_table(clients).revision
    click.echo(f"newest revision: {newest}")
    behind = _find_behind(clients, newest, report=True)
    if behind:
        raise SystemExit(EXIT_NOT_IN_FORCE)


def _read_file(file: Path) -> TableFile:
    try:
        return parse_table(file.read_text(encoding="utf-8"))
    except OSError as error:
        click.echo(f"{file}: {error.strerror}", err=True)
    except UnicodeDecodeError:
        click.echo(f"{file}: expected UTF-8 text", err=True)
    except TableError as error:
        click.echo(f"{file}: {error}", err=True)
    raise SystemExit(EXIT_INVALID_TABLE)


def _check_services(file: Path, rows: list[Row], current: list[Row], drop: tuple[str, ...]) -> None:
    """Exit if a service would lose its last row and isn't in `drop`."""
    kept = {row.service for row in rows} | set(drop)
    for service in sorted({row.service for row in current} - kept):
        text = f"column service: expected a row for {service}, or --drop {service}"
        click.echo(f"{file}: {text}", err=True)
        raise SystemExit(EXIT_INVALID_TABLE)


def _current_table(store: str, entries: tuple[str, ...]) -> TableDocument:
    """Return the newest table that the store holds or an entry follows."""
    stored = read_table(EtcdStore(store))
    document = EMPTY_TABLE if isinstance(stored, NotApplied) else stored.document
    in_force = newest_table([EntryClient(url) for url in entries])
    newest = max(document, in_force, key=lambda table: table.revision)
    if newest.revision == 0 and isinstance(stored, NotApplied):
        raise click.ClickException(stored.reason)
    if in_force.revision > document.revision and not isinstance(stored, NotApplied):
        text = f"the store went back to revision {document.revision}; in force is {newest.revision}"
        click.echo(text, err=True)
    return newest


def _send_table(clients: list[EntryClient], document: TableDocument) -> None:
    for client in clients:
        problem = client.send_table(document)
        if problem is not None:
            click.echo(f"could not send the table to {problem}", err=True)


def _exit_unless_in_force(clients: list[EntryClient], revision: int, wait: float) -> None:
    if not clients:
        click.echo("no --entry given; not checked whether the table is in force", err=True)
        return
    end = time.monotonic() + wait
    while _find_behind(clients, revision, report=False) and time.monotonic() < end:
        time.sleep(0.2)
    behind = _find_behind(clients, revision, report=True)
    if behind:
        raise SystemExit(EXIT_NOT_IN_FORCE)
    click.echo(f"revision {revision} is in force everywhere")


def _find_behind(clients: list[EntryClient], revision: int, *, report: bool) -> list[str]:
    """Return the processes that don't follow `revision` yet, and print them if `report`."""
    followers: dict[str, int] = {}
    behind: list[str] = []
    for client in clients:
        dump = client.dump()
        if isinstance(dump, EntryError):
            behind.append(str(dump))
            continue
        followers[f"entry {dump['incarnation']}"] = int(dump["table"]["revision"])
        for member in dump["members"]:
            name = f"target {member['incarnation']}"
            followers[name] = max(followers.get(name, 0), int(member["table_revision"]))
    behind += [name for name, found in followers.items() if found < revision]
    if report:
        for name, found in sorted(followers.items()):
            click.echo(f"{name}: revision {found}")
        for name in behind:
            click.echo(f"not in force: {name}", err=True)
    return behind


def _report_conflict(conflict: EditConflict) -> None:
    click.echo(
        f"conflict: the file was made from revision {conflict.base}, "
        f"the table is at {conflict.found}; nothing was changed. What differs:",
        err=True,
    )
    _print_changes(conflict.changes, err=True)
    raise SystemExit(EXIT_CONFLICT)


def _print_changes(differences: tuple[RowChange, ...], *, err: bool = False) -> None:
    for change in differences:
        for sign, row in (("-", change.before), ("+", change.after)):
            if row is not None:
                click.echo(f"{sign} {_format_row(row)}", err=err)


def _format_row(row: Row) -> str:
    return ",".join(str(cell) for cell in msgspec.structs.astuple(row))

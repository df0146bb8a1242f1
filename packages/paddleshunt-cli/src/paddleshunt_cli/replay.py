"""`paddleshunt trace` and `replay`: from logs to a trace, and a trace through the checker.

A trace is a file of JSON lines, one event each, in the order of time.
"""

import shlex
from collections.abc import Iterable, Iterator
from datetime import datetime
from pathlib import Path

import click
import msgspec
from paddleshunt_core.checker import (
    Adopted,
    Answered,
    Checker,
    Ended,
    Event,
    Leaving,
    Started,
    Submitted,
)

BROKEN = 1
"""Exit status when a rule was broken."""

UNREADABLE = 2
"""Exit status when a line can't be read."""

_FILE = click.Path(path_type=Path, dir_okay=False, exists=True)


@click.command()
@click.argument("file", type=_FILE)
def replay(file: Path) -> None:
    """Check a trace (JSON lines) against what must always hold."""
    checker = Checker()
    count = 0
    decoder = msgspec.json.Decoder(Event)
    for number, line in enumerate(file.read_bytes().splitlines(), 1):
        try:
            checker.check_event(decoder.decode(line))
        except msgspec.MsgspecError as error:
            click.echo(f"{file}: line {number}: {error}", err=True)
            raise SystemExit(UNREADABLE) from error
        count += 1
    for violation in checker.violations:
        click.echo(str(violation), err=True)
    click.echo(f"{count} events, {len(checker.starts)} tasks, {len(checker.violations)} violations")
    if checker.violations:
        raise SystemExit(BROKEN)


@click.command()
@click.argument("logs", type=_FILE, nargs=-1, required=True)
def trace(logs: tuple[Path, ...]) -> None:
    """Print a trace made from the logs of entries and targets, one log a process."""
    events = [event for log in logs for event in read_log(log.read_text().splitlines())]
    for event in sorted(events, key=lambda each: each.time):
        click.echo(msgspec.json.encode(event).decode())


def read_log(lines: Iterable[str]) -> Iterator[Event]:
    """Yield the events in the log of one process."""
    process = service = ""
    for line in lines:
        fields = _fields(line)
        if fields.get("event") == "started":
            process = fields.get("incarnation", "")
            service = fields.get("service", "")
        event = _event(fields, process, service)
        if event is not None:
            yield event


def _fields(line: str) -> dict[str, str]:
    return dict(word.split("=", 1) for word in shlex.split(line) if "=" in word)


def _event(fields: dict[str, str], process: str, service: str) -> Event | None:
    if "time" not in fields:
        return None
    time = datetime.fromisoformat(fields["time"]).timestamp()
    name = fields.get("submission", "")
    match fields.get("event"):
        case "accepted":
            return Submitted(time, name, int(fields["tasks"]))
        case "task_started":
            return Started(time, name, int(fields["index"]), process, service)
        case "task_ended":
            return Ended(time, name, int(fields["index"]), process, fields["ok"] == "True")
        case "answered":
            return Answered(time, name, fields["outcome"], int(fields["results"]))
        case "table_adopted":
            return Adopted(time, process, int(fields["revision"]))
        case "leaving":
            return Leaving(time, process)
        case _:
            return None

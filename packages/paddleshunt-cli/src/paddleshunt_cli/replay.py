"""`paddleshunt trace` and `replay`: make a trace from logs, and check a trace.

A trace is a file of JSON lines, one event each, in order of time.
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

EXIT_VIOLATIONS = 1
"""Exit status if the trace violates a rule."""

EXIT_UNREADABLE = 2
"""Exit status if a line is not a valid event."""

_FILE = click.Path(path_type=Path, dir_okay=False, exists=True)


@click.command()
@click.argument("file", type=_FILE)
def replay(file: Path) -> None:
    """Check a trace (JSON lines) against the rules that must always hold."""
    checker = Checker()
    count = 0
    decoder = msgspec.json.Decoder(Event)
    for number, line in enumerate(file.read_bytes().splitlines(), 1):
        try:
            checker.check_event(decoder.decode(line))
        except msgspec.MsgspecError as error:
            click.echo(f"{file}: line {number}: {error}", err=True)
            raise SystemExit(EXIT_UNREADABLE) from error
        count += 1
    for violation in checker.violations:
        click.echo(str(violation), err=True)
    click.echo(f"{count} events, {len(checker.starts)} tasks, {len(checker.violations)} violations")
    if checker.violations:
        raise SystemExit(EXIT_VIOLATIONS)


@click.command()
@click.argument("logs", type=_FILE, nargs=-1, required=True)
def trace(logs: tuple[Path, ...]) -> None:
    """Print a trace made from the LOGS of entries and targets, one log per process."""
    events = [event for log in logs for event in read_log(log.read_text().splitlines())]
    for event in sorted(events, key=lambda event: event.time):
        click.echo(msgspec.json.encode(event).decode())


def read_log(lines: Iterable[str]) -> Iterator[Event]:
    """Yield the events in the log of one process."""
    process = service = ""
    for line in lines:
        fields = _parse_fields(line)
        if fields.get("event") == "started":
            process = fields.get("incarnation", "")
            service = fields.get("service", "")
        event = _to_event(fields, process, service)
        if event is not None:
            yield event


def _parse_fields(line: str) -> dict[str, str]:
    return dict(word.split("=", 1) for word in shlex.split(line) if "=" in word)


def _to_event(fields: dict[str, str], process: str, service: str) -> Event | None:
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

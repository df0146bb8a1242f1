"""`paddleshunt status`: one screen that says how every row of the table is doing."""

import json
import time
from collections import Counter
from dataclasses import asdict, dataclass, field
from typing import Any, final

import click

from paddleshunt_cli.entries import EntryClient, EntryError
from paddleshunt_cli.options import entries_option

WATCH_SECONDS = 2.0


@final
@dataclass(slots=True)
class RowStatus:
    """A row of the table with what the entries say of it.

    `share` and `wanted` are the parts of the service's new submissions in percent: those that the
    site got since the entries started, and those that its weight says.
    """

    service: str
    site: str
    live: int = 0
    leaving: int = 0
    suspect: int = 0
    running: int = 0
    max_running: int = 0
    in_flight: int = 0
    max_in_flight: int = 0
    share: int = 0
    wanted: int = 0
    behind: int = 0


@final
@dataclass(slots=True)
class Status:
    """All rows, answers by service and outcome, and what is not as it should be."""

    revision: int
    rows: list[RowStatus] = field(default_factory=list)
    answers: dict[str, dict[str, int]] = field(default_factory=dict)
    warnings: list[str] = field(default_factory=list)


@click.command()
@click.option("--json", "as_json", is_flag=True, help="Print JSON instead of a table.")
@click.option("--watch", is_flag=True, help="Print again every two seconds.")
@entries_option
def status(as_json: bool, watch: bool, entries: tuple[str, ...]) -> None:
    """Show targets, work against limits and traffic against weights, row by row."""
    if not entries:
        raise click.UsageError("give at least one --entry, or set PADDLESHUNT_ENTRIES")
    clients = [EntryClient(url) for url in entries]
    while True:
        found = gather(clients)
        text = json.dumps(asdict(found)) if as_json else render(found)
        if watch and not as_json:
            click.clear()
        click.echo(text)
        if not watch:
            return
        time.sleep(WATCH_SECONDS)


def gather(clients: list[EntryClient]) -> Status:
    """Ask all entries, and put together what they say."""
    dumps: list[dict[str, Any]] = []
    warnings: list[str] = []
    for client in clients:
        dump = client.dump()
        if isinstance(dump, EntryError):
            warnings.append(f"no answer from {dump}")
        else:
            dumps.append(dump)
    if not dumps:
        raise click.ClickException("; ".join(warnings))
    newest = max(dumps, key=lambda dump: int(dump["table"]["revision"]))
    found = Status(int(newest["table"]["revision"]), warnings=warnings)
    members = _freshest_members(dumps)
    found.rows = _rows(newest, members, dumps)
    found.answers = _answers(dumps)
    found.warnings += _warnings(dumps, found)
    return found


def render(found: Status) -> str:
    """Return the screen."""
    heads = ("service", "site", "live", "leaving", "suspect", "running", "in flight", "traffic")
    lines = [[*heads, "not in force"]]
    for row in found.rows:
        lines.append(
            [
                row.service,
                row.site,
                str(row.live),
                str(row.leaving),
                str(row.suspect),
                f"{row.running}/{row.max_running}",
                f"{row.in_flight}/{row.max_in_flight}",
                f"{row.share}% of {row.wanted}%",
                str(row.behind),
            ]
        )
    widths = [max(len(line[column]) for line in lines) for column in range(len(lines[0]))]
    text = [f"table revision {found.revision}"]
    for line in lines:
        text.append("  ".join(c.ljust(w) for c, w in zip(line, widths, strict=True)).rstrip())
    for service, answers in sorted(found.answers.items()):
        counts = ", ".join(f"{kind} {count}" for kind, count in sorted(answers.items()))
        text.append(f"answers of {service}: {counts}")
    text += [f"! {warning}" for warning in found.warnings]
    return "\n".join(text)


def _freshest_members(dumps: list[dict[str, Any]]) -> list[dict[str, Any]]:
    """Return each target as the entry tells it that heard it last."""
    freshest: dict[str, dict[str, Any]] = {}
    for member in (member for dump in dumps for member in dump["members"]):
        known = freshest.get(member["incarnation"])
        if known is None or member["silent_s"] < known["silent_s"]:
            freshest[member["incarnation"]] = member
    return list(freshest.values())


def _rows(
    newest: dict[str, Any], members: list[dict[str, Any]], dumps: list[dict[str, Any]]
) -> list[RowStatus]:
    rows: list[RowStatus] = []
    weights: Counter[str] = Counter()
    for service, _site, weight, *_ in newest["table"]["rows"]:
        weights[service] += weight
    minted = _minted(dumps)
    for service, site, weight, max_running, max_in_flight in newest["table"]["rows"]:
        row = RowStatus(service, site, max_running=max_running, max_in_flight=max_in_flight)
        row.wanted = _percent(weight, weights[service])
        row.share = _percent(minted[(service, site)], _total(minted, service))
        for member in members:
            if (member["service"], member["site"]) == (service, site):
                _count(row, member, int(newest["table"]["revision"]))
        rows.append(row)
    return rows


def _count(row: RowStatus, member: dict[str, Any], revision: int) -> None:
    _slots, running, queued, _jobs = member["load"]
    row.running += running
    row.in_flight += running + queued
    row.leaving += bool(member["leaving"])
    row.suspect += bool(member["suspect"])
    row.live += not (member["leaving"] or member["suspect"])
    row.behind += int(member["table_revision"]) < revision


def _minted(dumps: list[dict[str, Any]]) -> Counter[tuple[str, str]]:
    minted: Counter[tuple[str, str]] = Counter()
    for dump in dumps:
        for service, tally in dump["tallies"].items():
            minted.update({(service, site): n for site, n in tally["minted"].items()})
    return minted


def _answers(dumps: list[dict[str, Any]]) -> dict[str, dict[str, int]]:
    found: dict[str, Counter[str]] = {}
    for dump in dumps:
        for service, tally in dump["tallies"].items():
            found.setdefault(service, Counter()).update(tally["answers"])
    return {service: dict(counts) for service, counts in found.items()}


def _total(minted: Counter[tuple[str, str]], service: str) -> int:
    return sum(count for (name, _), count in minted.items() if name == service)


def _percent(part: int, whole: int) -> int:
    return round(100 * part / whole) if whole else 0


def _warnings(dumps: list[dict[str, Any]], found: Status) -> list[str]:
    warnings: list[str] = []
    for dump in dumps:
        name = dump["incarnation"]
        if not dump["store_reachable"]:
            warnings.append(f"{name}: the store can't be reached")
        if dump["store_went_back_to"] is not None:
            warnings.append(f"{name}: the store went back to {dump['store_went_back_to']}")
        if int(dump["table"]["revision"]) < found.revision:
            warnings.append(f"{name}: follows revision {dump['table']['revision']}")
    for row in found.rows:
        if row.live == 0 and row.wanted > 0:
            warnings.append(f"{row.service} at {row.site}: no live target")
    return warnings

"""`paddleshunt status`: show the state of every row of the table on one screen."""

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
    """A row of the table and the state that the entries report for it.

    `share` and `wanted` are percentages of the service's new submissions: the part that the site
    got since the entries started, and the part that its weight calls for. `behind` counts targets
    that follow an older table.
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
    """All rows, the answer counts by service and outcome, and warnings."""

    revision: int
    rows: list[RowStatus] = field(default_factory=list)
    answers: dict[str, dict[str, int]] = field(default_factory=dict)
    warnings: list[str] = field(default_factory=list)


@click.command()
@click.option("--json", "as_json", is_flag=True, help="Print JSON instead of a table.")
@click.option("--watch", is_flag=True, help="Print again every two seconds.")
@entries_option
def status(as_json: bool, watch: bool, entries: tuple[str, ...]) -> None:
    """Show targets, load against limits and traffic against weights for each row."""
    if not entries:
        raise click.UsageError("give at least one --entry, or set PADDLESHUNT_ENTRIES")
    clients = [EntryClient(url) for url in entries]
    while True:
        summary = gather(clients)
        text = json.dumps(asdict(summary)) if as_json else render(summary)
        if watch and not as_json:
            click.clear()
        click.echo(text)
        if not watch:
            return
        time.sleep(WATCH_SECONDS)


def gather(clients: list[EntryClient]) -> Status:
    """Query all entries and combine their state dumps."""
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
    summary = Status(int(newest["table"]["revision"]), warnings=warnings)
    members = _freshest_members(dumps)
    summary.rows = _rows(newest, members, dumps)
    summary.answers = _count_answers(dumps)
    summary.warnings += _find_warnings(dumps, summary)
    return summary


def render(summary: Status) -> str:
    """Return the status as text."""
    headers = ("service", "site", "live", "leaving", "suspect", "running", "in flight", "traffic")
    lines = [[*headers, "not in force"]]
    for row in summary.rows:
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
    text = [f"table revision {summary.revision}"]
    for line in lines:
        text.append(
            "  ".join(cell.ljust(width) for cell, width in zip(line, widths, strict=True)).rstrip()
        )
    for service, answers in sorted(summary.answers.items()):
        counts = ", ".join(f"{kind} {count}" for kind, count in sorted(answers.items()))
        text.append(f"answers of {service}: {counts}")
    text += [f"! {warning}" for warning in summary.warnings]
    return "\n".join(text)


def _freshest_members(dumps: list[dict[str, Any]]) -> list[dict[str, Any]]:
    """Return each target as reported by the entry with its latest heartbeat."""
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
    minted = _count_minted(dumps)
    for service, site, weight, max_running, max_in_flight in newest["table"]["rows"]:
        row = RowStatus(service, site, max_running=max_running, max_in_flight=max_in_flight)
        row.wanted = _percent(weight, weights[service])
        row.share = _percent(minted[(service, site)], _total(minted, service))
        for member in members:
            if (member["service"], member["site"]) == (service, site):
                _add_member(row, member, int(newest["table"]["revision"]))
        rows.append(row)
    return rows


def _add_member(row: RowStatus, member: dict[str, Any], revision: int) -> None:
    _slots, running, queued, _jobs = member["load"]
    row.running += running
    row.in_flight += running + queued
    row.leaving += bool(member["leaving"])
    row.suspect += bool(member["suspect"])
    row.live += not (member["leaving"] or member["suspect"])
    row.behind += int(member["table_revision"]) < revision


def _count_minted(dumps: list[dict[str, Any]]) -> Counter[tuple[str, str]]:
    minted: Counter[tuple[str, str]] = Counter()
    for dump in dumps:
        for service, tally in dump["tallies"].items():
            minted.update({(service, site): n for site, n in tally["minted"].items()})
    return minted


def _count_answers(dumps: list[dict[str, Any]]) -> dict[str, dict[str, int]]:
    counts_by_service: dict[str, Counter[str]] = {}
    for dump in dumps:
        for service, tally in dump["tallies"].items():
            counts_by_service.setdefault(service, Counter()).update(tally["answers"])
    return {service: dict(counts) for service, counts in counts_by_service.items()}


def _total(minted: Counter[tuple[str, str]], service: str) -> int:
    return sum(count for (name, _), count in minted.items() if name == service)


def _percent(part: int, whole: int) -> int:
    return round(100 * part / whole) if whole else 0


def _find_warnings(dumps: list[dict[str, Any]], summary: Status) -> list[str]:
    warnings: list[str] = []
    for dump in dumps:
        name = dump["incarnation"]
        if not dump["store_reachable"]:
            warnings.append(f"{name}: the store can't be reached")
        if dump["store_went_back_to"] is not None:
            warnings.append(f"{name}: the store went back to revision {dump['store_went_back_to']}")
        if int(dump["table"]["revision"]) < summary.revision:
            warnings.append(f"{name}: follows revision {dump['table']['revision']}")
    for row in summary.rows:
        if row.live == 0 and row.wanted > 0:
            warnings.append(f"{row.service} at {row.site}: no live target")
    return warnings

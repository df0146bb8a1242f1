"""The command line of `paddleshunt`."""

import json
from pathlib import Path

import click

from paddleshunt_cli.entries import EntryClient, EntryError
from paddleshunt_cli.explain import explain
from paddleshunt_cli.options import entries_option
from paddleshunt_cli.replay import replay, trace
from paddleshunt_cli.status import status
from paddleshunt_cli.submit import EXIT_STATUS, load_job, submit_job
from paddleshunt_cli.table import table


@click.group()
def main() -> None:
    """Operate paddleshunt, or submit work to it."""


main.add_command(table)
main.add_command(status)
main.add_command(explain)
main.add_command(replay)
main.add_command(trace)


@main.command()
@click.argument("file", type=click.Path(path_type=Path, dir_okay=False))
@click.option("--tries", default=5, show_default=True, help="Attempts with the same id.")
@entries_option
def submit(file: Path, tries: int, entries: tuple[str, ...]) -> None:
    """Submit the job in a JSON file and print its answer."""
    job = load_job(file)
    answer = submit_job(_clients(entries), job, tries)
    click.echo(json.dumps(answer))
    raise SystemExit(EXIT_STATUS.get(str(answer.get("outcome")), 1))


@main.command()
@click.argument("url")
def dump(url: str) -> None:
    """Print the state of the process at URL."""
    state = EntryClient(url).dump()
    if isinstance(state, EntryError):
        raise click.ClickException(str(state))
    click.echo(json.dumps(state, indent=2))


@main.command()
@entries_option
def members(entries: tuple[str, ...]) -> None:
    """Print the targets that the first reachable entry knows."""
    problems: list[str] = []
    for client in _clients(entries):
        state = client.dump()
        if isinstance(state, EntryError):
            problems.append(str(state))
            continue
        for member in state["members"]:
            click.echo(_member_line(member))
        return
    raise click.ClickException("; ".join(problems))


def _member_line(member: dict[str, object]) -> str:
    condition = "live"
    if member["suspect"]:
        condition = "suspect"
    if member["leaving"]:
        condition = "leaving"
    return f"{member['service']}\t{member['site']}\t{member['incarnation']}\t{condition}"


def _clients(urls: tuple[str, ...]) -> list[EntryClient]:
    if not urls:
        raise click.UsageError("give at least one --entry, or set PADDLESHUNT_ENTRIES")
    return [EntryClient(url) for url in urls]

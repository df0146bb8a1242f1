"""What is checked of other processes' words beyond their types: names and addresses of entries."""

from collections.abc import Iterable

from paddleshunt_core.leased.refusals import InputKind, Refusal, RefusalHandler
from paddleshunt_core.leased.wire import EntryAddress

from paddleshunt_node.aio.sockets import AddressError, split_address

MOST_NAME = 200
"""Signs of a name or a life; they stand in lines of the log, and in keys of a store, which may have
as many bytes."""


def problem_with(entry: EntryAddress) -> str:
    """Return why an entry can't be dialled or named; empty if it can."""
    if not 0 < len(entry.name) <= MOST_NAME or len(entry.incarnation) > MOST_NAME:
        return "name or life too long, or no name"
    try:
        split_address(entry.address)
    except AddressError as problem:
        return str(problem)
    return ""


def readable(
    entries: Iterable[EntryAddress], sender: str, refuse: RefusalHandler
) -> list[EntryAddress]:
    """Return the entries that can be dialled; the others that `sender` told of are refused."""
    found: list[EntryAddress] = []
    for entry in entries:
        problem = problem_with(entry)
        if problem:
            refuse(Refusal(InputKind.ADDRESS, sender, problem))
        else:
            found.append(entry)
    return found

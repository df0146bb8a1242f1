"""Validation of entries' names and addresses received from other processes."""

from collections.abc import Iterable

from paddleshunt_core.leased.refusals import InputKind, Refusal, RefusalHandler
from paddleshunt_core.leased.wire import EntryAddress

from paddleshunt_node.aio.sockets import AddressError, split_address

MAX_NAME_LENGTH = 200
"""Maximum characters of a name, and of a process's incarnation; both occur in log lines and in keys
of the store."""


def entry_problem(entry: EntryAddress) -> str:
    """Return why an entry's name or address is invalid, or "" if both are valid."""
    if not 0 < len(entry.name) <= MAX_NAME_LENGTH or len(entry.incarnation) > MAX_NAME_LENGTH:
        return "empty name, or name or incarnation too long"
    try:
        split_address(entry.address)
    except AddressError as problem:
        return str(problem)
    return ""


def valid_entries(
    entries: Iterable[EntryAddress], sender: str, refuse: RefusalHandler
) -> list[EntryAddress]:
    """Return the valid entries; call `refuse` for each invalid one that `sender` sent."""
    valid: list[EntryAddress] = []
    for entry in entries:
        problem = entry_problem(entry)
        if problem:
            refuse(Refusal(InputKind.ADDRESS, sender, problem))
        else:
            valid.append(entry)
    return valid

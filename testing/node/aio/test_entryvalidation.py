"""Tests for the validation of entries' names and addresses."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from paddleshunt_core.leased.refusals import InputKind, Refusal
from paddleshunt_core.leased.wire import EntryAddress
from paddleshunt_node.aio.entryvalidation import valid_entries
from paddleshunt_node.aio.sockets import AddressError, split_address

GOOD = EntryAddress("e1", "10.0.0.1:7720")
INVALID = [
    "",
    "10.0.0.1",
    ":7720",
    "10.0.0.1:",
    "10.0.0.1:port",
    "10.0.0.1:-1",
    "10.0.0.1:77200",
    "10.0.0.1:7_7",
    "10.0.0.1:\u0667\u0667",
    "10.0.0.1 :7720",
    "a" * 64 + ":7720",
    "a..b:7720",
    "a." * 500 + "b:7720",
    "é:7720",
    "\x00:7720",
]


@pytest.mark.parametrize("address", INVALID)
def test_invalid_address_is_rejected(address: str) -> None:
    with pytest.raises(AddressError, match=r"no valid (host|port) in"):
        split_address(address)


@pytest.mark.parametrize(
    ("address", "parts"),
    [
        ("10.0.0.1:7720", ("10.0.0.1", 7720)),
        ("entry-1.hall.example:80", ("entry-1.hall.example", 80)),
        ("::1:7720", ("::1", 7720)),
    ],
)
def test_split_address(address: str, parts: tuple[str, int]) -> None:
    assert split_address(address) == parts


@pytest.mark.parametrize(
    "invalid",
    [
        *(EntryAddress("e2", address) for address in INVALID),
        EntryAddress("", "10.0.0.2:1"),
        EntryAddress("e" * 5000, "10.0.0.2:1"),
        EntryAddress("e2", "10.0.0.2:1", "l" * 5000),
    ],
)
def test_invalid_entry_is_refused_and_the_others_are_kept(invalid: EntryAddress) -> None:
    refused: list[Refusal] = []
    assert valid_entries([GOOD, invalid, GOOD], "e9", refused.append) == [GOOD, GOOD]
    assert [(one.kind, one.sender) for one in refused] == [(InputKind.ADDRESS, "e9")]


@settings(max_examples=200, derandomize=True, database=None, deadline=None)
@given(st.text(max_size=30))
def test_any_text_is_split_or_rejected(text: str) -> None:
    for address in (text, f"{text}:7720", f"10.0.0.1:{text}"):
        try:
            host, port = split_address(address)
        except AddressError:
            continue
        assert host.isascii() and 0 <= port <= 65535
        host.encode("idna")

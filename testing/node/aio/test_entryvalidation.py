"""Names and addresses of entries that others tell of."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from paddleshunt_core.leased.refusals import InputKind, Refusal
from paddleshunt_core.leased.wire import EntryAddress
from paddleshunt_node.aio.entryvalidation import valid_entries
from paddleshunt_node.aio.sockets import AddressError, split_address

GOOD = EntryAddress("e1", "10.0.0.1:7720")
ODD = [
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


@pytest.mark.parametrize("address", ODD)
def test_a_text_that_is_no_address_is_told_apart(address: str) -> None:
    with pytest.raises(AddressError, match=r"no (host|port) in"):
        split_address(address)


@pytest.mark.parametrize(
    ("address", "parts"),
    [
        ("10.0.0.1:7720", ("10.0.0.1", 7720)),
        ("entry-1.hall.example:80", ("entry-1.hall.example", 80)),
        ("::1:7720", ("::1", 7720)),
    ],
)
def test_addresses_are_split(address: str, parts: tuple[str, int]) -> None:
    assert split_address(address) == parts


@pytest.mark.parametrize(
    "odd",
    [
        *(EntryAddress("e2", address) for address in ODD),
        EntryAddress("", "10.0.0.2:1"),
        EntryAddress("e" * 5000, "10.0.0.2:1"),
        EntryAddress("e2", "10.0.0.2:1", "l" * 5000),
    ],
)
def test_an_odd_entry_hides_no_other(odd: EntryAddress) -> None:
    refused: list[Refusal] = []
    assert valid_entries([GOOD, odd, GOOD], "e9", refused.append) == [GOOD, GOOD]
    assert [(one.kind, one.sender) for one in refused] == [(InputKind.ADDRESS, "e9")]


@settings(max_examples=200, derandomize=True, database=None, deadline=None)
@given(st.text(max_size=30))
def test_whatever_is_told_is_an_address_or_refused(text: str) -> None:
    for address in (text, f"{text}:7720", f"10.0.0.1:{text}"):
        try:
            host, port = split_address(address)
        except AddressError:
            continue
        assert host.isascii() and 0 <= port <= 65535
        host.encode("idna")

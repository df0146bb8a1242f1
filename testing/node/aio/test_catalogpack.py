"""Configurations as entries hand them to one another."""

import zlib

import msgspec
import pytest
from paddleshunt_core.leased.catalog import Catalog, Queue, Service
from paddleshunt_core.leased.wire import PackedCatalog
from paddleshunt_node.aio import catalogpack
from paddleshunt_node.aio.catalogpack import CatalogPackError, pack, unpack

CATALOG = Catalog(
    7,
    [Queue(f"r-{n}", "host.example", f"/q{n}/", "svc", 0, 3, 1.6, 0.06) for n in range(1400)],
    [Service("svc")],
)


def test_a_configuration_comes_back_as_it_was() -> None:
    assert unpack(pack(CATALOG)) == CATALOG


def test_a_large_one_takes_a_fraction_of_its_bytes() -> None:
    assert len(pack(CATALOG).content) < len(msgspec.msgpack.encode(CATALOG)) / 4


@pytest.mark.parametrize(
    ("content", "problem"),
    [
        (b"no", "incorrect header"),
        (pack(CATALOG).content[:-9], "cut off"),
        (zlib.compress(b"\xc1"), "invalid|malformed"),
        (zlib.compress(msgspec.msgpack.encode([7])), "array"),
        (pack(Catalog(6, [], [])).content, "version 6 packed as 7"),
    ],
    ids=["not-packed", "cut", "no-message", "no-catalog", "another-version"],
)
def test_what_can_not_be_read_is_an_error(content: bytes, problem: str) -> None:
    with pytest.raises(CatalogPackError, match=problem):
        unpack(PackedCatalog(7, content))


def test_one_that_unpacks_to_too_much_is_an_error(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(catalogpack, "MAX_UNPACKED", 1000)
    with pytest.raises(CatalogPackError, match="more than 1000 bytes"):
        unpack(pack(CATALOG))

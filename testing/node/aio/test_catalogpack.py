"""Tests for the compression of configurations."""

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


def test_round_trip() -> None:
    assert unpack(pack(CATALOG)) == CATALOG


def test_large_configuration_is_compressed() -> None:
    assert len(pack(CATALOG).content) < len(msgspec.msgpack.encode(CATALOG)) / 4


@pytest.mark.parametrize(
    ("content", "problem"),
    [
        (b"no", "incorrect header"),
        (pack(CATALOG).content[:-9], "truncated"),
        (zlib.compress(b"\xc1"), "invalid|malformed"),
        (zlib.compress(msgspec.msgpack.encode([7])), "array"),
        (pack(Catalog(6, [], [])).content, "expected version 7, found 6"),
    ],
    ids=["no-zlib", "truncated", "no-msgpack", "no-catalog", "another-version"],
)
def test_invalid_content_is_rejected(content: bytes, problem: str) -> None:
    with pytest.raises(CatalogPackError, match=problem):
        unpack(PackedCatalog(7, content))


def test_oversized_configuration_is_rejected(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(catalogpack, "MAX_UNPACKED_BYTES", 1000)
    with pytest.raises(CatalogPackError, match="more than 1000 bytes"):
        unpack(pack(CATALOG))

"""Compression of configurations that entries send to one another."""

import zlib

import msgspec
from paddleshunt_core.leased.catalog import Catalog
from paddleshunt_core.leased.refusals import DECODE_ERRORS
from paddleshunt_core.leased.wire import PackedCatalog

MAX_UNPACKED_BYTES = 8 << 20
"""Maximum size of a decompressed configuration in bytes."""

PACK_LEVEL = 1
"""zlib compression level; 1 is the fastest."""

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Catalog)


class CatalogPackError(ValueError):
    """A packed configuration is invalid."""


def pack(catalog: Catalog) -> PackedCatalog:
    """Return the compressed configuration."""
    content = zlib.compress(_encoder.encode(catalog), PACK_LEVEL)
    return PackedCatalog(catalog.version, content)


def unpack(packed: PackedCatalog) -> Catalog:
    """Return the configuration in `packed`; raises `CatalogPackError`."""
    decompressor = zlib.decompressobj()
    try:
        content = decompressor.decompress(packed.content, MAX_UNPACKED_BYTES)
        if not decompressor.eof:
            raise CatalogPackError(f"truncated, or more than {MAX_UNPACKED_BYTES} bytes unpacked")
        catalog = _decoder.decode(content)
    except (zlib.error, *DECODE_ERRORS) as problem:
        raise CatalogPackError(str(problem)) from problem
    if catalog.version != packed.version:
        raise CatalogPackError(f"expected version {packed.version}, found {catalog.version}")
    return catalog

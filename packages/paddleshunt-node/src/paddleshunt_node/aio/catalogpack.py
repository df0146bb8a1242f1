"""A configuration as it travels between entries: packed, and bounded where it is unpacked."""

import zlib

import msgspec
from paddleshunt_core.leased.catalog import Catalog
from paddleshunt_core.leased.refusals import DECODE_ERRORS
from paddleshunt_core.leased.wire import PackedCatalog

MAX_UNPACKED = 8 << 20
"""Bytes of a configuration, above which a packed one is refused."""

PACK_LEVEL = 1
"""Level of zlib: the one that takes the least processor time."""

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Catalog)


class CatalogPackError(ValueError):
    """A packed configuration can't be read."""


def pack(catalog: Catalog) -> PackedCatalog:
    """Return a configuration, packed."""
    content = zlib.compress(_encoder.encode(catalog), PACK_LEVEL)
    return PackedCatalog(catalog.version, content)


def unpack(packed: PackedCatalog) -> Catalog:
    """Return the configuration in `packed`; raises `CatalogPackError`."""
    unpacker = zlib.decompressobj()
    try:
        content = unpacker.decompress(packed.content, MAX_UNPACKED)
        if not unpacker.eof:
            raise CatalogPackError(f"cut off, or more than {MAX_UNPACKED} bytes")
        catalog = _decoder.decode(content)
    except (zlib.error, *DECODE_ERRORS) as problem:
        raise CatalogPackError(str(problem)) from problem
    if catalog.version != packed.version:
        raise CatalogPackError(f"version {catalog.version} packed as {packed.version}")
    return catalog

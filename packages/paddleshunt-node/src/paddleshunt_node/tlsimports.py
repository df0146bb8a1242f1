"""Blocks the import of TLS modules in processes that don't use TLS, to save memory.

Libraries import TLS and OpenSSL's hashes optionally and work without them; loading them costs
about 5 MB per process (docs/design/memory.md).
"""

import sys
from collections.abc import Iterable
from typing import Any, cast

_TLS_MODULES = ("ssl", "_ssl", "_hashlib")


def block_tls_imports(urls: Iterable[str | None]) -> None:
    """Block TLS imports unless a URL is https. Call before importing modules that use TLS."""
    if any(url is not None and url.startswith("https:") for url in urls):
        return
    modules = cast("dict[str, Any]", sys.modules)
    for name in _TLS_MODULES:
        modules.setdefault(name, None)

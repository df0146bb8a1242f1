"""Keeps modules out of a process that it does not need, as memory on a target's host is short.

TLS and OpenSSL's hashes cost about 5 MB a process (docs/design/memory.md) and are imported by
libraries in case they should be needed. Those libraries do without them if they can't be had.
"""

import sys
from collections.abc import Iterable
from typing import Any, cast

_TLS_MODULES = ("ssl", "_ssl", "_hashlib")


def block_tls_imports(urls: Iterable[str | None]) -> None:
    """Keep TLS from being imported, unless one of `urls` needs it. Call before the imports."""
    if any(url is not None and url.startswith("https:") for url in urls):
        return
    modules = cast("dict[str, Any]", sys.modules)
    for name in _TLS_MODULES:
        modules.setdefault(name, None)

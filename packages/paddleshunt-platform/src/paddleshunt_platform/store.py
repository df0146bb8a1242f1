"""Interface to the platform's key-value service, and the keys that the system uses there.

Calls return errors as values. A write without an answer is `Unanswered`: only reading the
key back shows whether it took effect.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Protocol, final

TABLE_KEY = "paddleshunt/table"
"""Key of the operators' table document (JSON)."""

ALLOTMENT_PREFIX = "paddleshunt/allotments/"
"""Prefix of the allotment documents (JSON), with one key for each row."""

KEY_PREFIX = "paddleshunt/"
"""Prefix of every key that the system uses."""

ABSENT = 0
"""Version of a missing key, for `compare_and_swap`."""


def allotment_key(service: str, site: str) -> str:
    """Return the key of a row's allotment."""
    return f"{ALLOTMENT_PREFIX}{service}/{site}"


@final
@dataclass(frozen=True, slots=True)
class Value:
    """A key's value, and its version, which changes with every write to the key."""

    key: str
    data: bytes
    version: int


@final
@dataclass(frozen=True, slots=True)
class Listing:
    """Values under a prefix at one revision of the store."""

    values: tuple[Value, ...]
    revision: int


@final
@dataclass(frozen=True, slots=True)
class Written:
    """The write took effect."""


@final
@dataclass(frozen=True, slots=True)
class VersionConflict:
    """The write did not take effect, as the key has another version; `found` is its value."""

    found: Value | None


@final
@dataclass(frozen=True, slots=True)
class Unreachable:
    """The service could not be reached; the call had no effect."""

    reason: str


@final
@dataclass(frozen=True, slots=True)
class Unanswered:
    """The service did not answer; a write may have taken effect."""

    reason: str


StoreError = Unreachable | Unanswered


class Store(Protocol):
    """The operations that the system needs of a key-value service."""

    def get(self, key: str) -> Value | StoreError | None:
        """Return the key's value, None if the key is missing, or the error."""

    def list(self, prefix: str) -> Listing | StoreError:
        """Return all values whose keys start with `prefix`."""

    def compare_and_swap(
        self, key: str, data: bytes, version: int
    ) -> Written | VersionConflict | StoreError:
        """Write `data` if the key still has `version` (`ABSENT`: if it isn't there)."""

    def watch(self, prefix: str, after: int) -> Iterator[Value | StoreError]:
        """Yield values written under `prefix` after revision `after`; an error ends the watch."""

    def grant_lease(self, seconds: int) -> int | StoreError:
        """Return the id of a new lease."""

    def renew_lease(self, lease: int) -> bool | StoreError:
        """Renew a lease. Return False if it has expired."""

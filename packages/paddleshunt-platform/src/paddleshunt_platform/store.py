"""The interface to the platform's key-value service, and the keys that the system uses there.

Every call returns a tagged outcome. A write whose answer was lost is `Unanswered`: it may have
taken effect, and only reading back can tell.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Protocol, final

TABLE_KEY = "paddleshunt/table"
"""Key of the operators' table document (JSON)."""

ALLOTMENT_PREFIX = "paddleshunt/allotments/"
"""Prefix of the allotment documents (JSON), one key a row."""

KEY_PREFIX = "paddleshunt/"
"""Prefix of every key that the system uses."""

ABSENT = 0
"""Version of a key that isn't there, for `compare_and_swap`."""


def allotment_key(service: str, site: str) -> str:
    """Return the key of a row's allotment."""
    return f"{ALLOTMENT_PREFIX}{service}/{site}"


@final
@dataclass(frozen=True, slots=True)
class Value:
    """A key's value, and its version: a number that changes with every write to the key."""

    key: str
    data: bytes
    version: int


@final
@dataclass(frozen=True, slots=True)
class Listing:
    """Values under a prefix, as of one revision of the whole store."""

    values: tuple[Value, ...]
    revision: int


@final
@dataclass(frozen=True, slots=True)
class Written:
    """The write took effect."""


@final
@dataclass(frozen=True, slots=True)
class VersionConflict:
    """The write did not take effect, as the key had another version; `found` is what is there."""

    found: Value | None


@final
@dataclass(frozen=True, slots=True)
class Unreachable:
    """The service could not be asked; nothing happened."""

    reason: str


@final
@dataclass(frozen=True, slots=True)
class Unanswered:
    """The service was asked and did not answer; a write may have taken effect."""

    reason: str


StoreError = Unreachable | Unanswered


class Store(Protocol):
    """What the system needs of a key-value service."""

    def get(self, key: str) -> Value | StoreError | None:
        """Return the key's value, None if there is none."""

    def list(self, prefix: str) -> Listing | StoreError:
        """Return all values whose keys start with `prefix`."""

    def compare_and_swap(
        self, key: str, data: bytes, version: int
    ) -> Written | VersionConflict | StoreError:
        """Write `data` if the key still has `version` (`ABSENT`: if it isn't there)."""

    def watch(self, prefix: str, after: int) -> Iterator[Value | StoreError]:
        """Yield values written under `prefix` after a revision; the last item is an error."""

    def grant_lease(self, seconds: int) -> int | StoreError:
        """Return the number of a new lease."""

    def keep_lease(self, lease: int) -> bool | StoreError:
        """Renew a lease; return False if it has lapsed."""

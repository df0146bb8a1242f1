"""A client of the entries' HTTP interface."""

from dataclasses import dataclass
from typing import Any, final

import msgspec
import urllib3
from paddleshunt_core.table import EMPTY_TABLE, TableDocument
from urllib3.exceptions import HTTPError

CALL_SECONDS = 5.0
"""Seconds that a quick call may take."""

_ACCEPTED = 202
_OK = 200


@final
@dataclass(frozen=True, slots=True)
class EntryError:
    """An entry that did not answer as it should."""

    url: str
    reason: str

    def __str__(self) -> str:
        return f"{self.url}: {self.reason}"


@final
@dataclass(frozen=True, slots=True)
class Reply:
    """An entry's response: HTTP status and decoded JSON."""

    status: int
    body: Any
    retry_after: float


@final
class EntryClient:
    """One entry at `url`; nothing is repeated by itself."""

    def __init__(self, url: str, key: str = "") -> None:
        self.url = url.rstrip("/")
        self._headers = {"Paddleshunt-Key": key} if key else {}
        self._pool = urllib3.PoolManager(retries=False)

    def call(
        self, method: str, path: str, body: bytes | None = None, seconds: float = CALL_SECONDS
    ) -> Reply | EntryError:
        """Make one call and return what came of it."""
        try:
            response = self._pool.request(
                method, self.url + path, body=body, timeout=seconds, headers=self._headers
            )
        except (HTTPError, OSError) as error:
            return EntryError(self.url, str(error))
        try:
            decoded = msgspec.json.decode(response.data)
        except msgspec.DecodeError:
            return EntryError(self.url, f"status {response.status}, and no JSON")
        return Reply(response.status, decoded, float(response.headers.get("Retry-After", "0")))

    def dump(self) -> dict[str, Any] | EntryError:
        """Return the dump of the process's state."""
        reply = self.call("GET", "/v1/dump")
        if isinstance(reply, EntryError):
            return reply
        if reply.status != _OK or not isinstance(reply.body, dict):
            return EntryError(self.url, f"status {reply.status}")
        return reply.body

    def hand_table(self, document: TableDocument) -> EntryError | None:
        """Hand a table that the store has accepted to the entry itself."""
        reply = self.call("PUT", "/v1/table", msgspec.json.encode(document))
        if isinstance(reply, EntryError):
            return reply
        if reply.status != _ACCEPTED:
            return EntryError(self.url, f"status {reply.status}: {reply.body.get('error', '')}")
        return None


def newest_table(clients: list[EntryClient]) -> TableDocument:
    """Return the newest table that any of the entries follows."""
    newest = EMPTY_TABLE
    for client in clients:
        dump = client.dump()
        if isinstance(dump, EntryError):
            continue
        document = msgspec.convert(dump["table"], TableDocument)
        newest = max(newest, document, key=lambda each: each.revision)
    return newest

"""A client of the entries' HTTP interface."""

from dataclasses import dataclass
from typing import Any, final

import msgspec
import urllib3
from paddleshunt_core.table import EMPTY_TABLE, TableDocument
from urllib3.exceptions import HTTPError

CALL_TIMEOUT_SECONDS = 5.0
"""Default timeout of a call."""

_ACCEPTED = 202
_OK = 200


@final
@dataclass(frozen=True, slots=True)
class EntryError:
    """A failed call to the entry at `url`."""

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
    """HTTP client of the entry at `url`; it never retries a call."""

    def __init__(self, url: str, key: str = "") -> None:
        self.url = url.rstrip("/")
        self._headers = {"Paddleshunt-Key": key} if key else {}
        self._pool = urllib3.PoolManager(retries=False)

    def call(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        timeout: float = CALL_TIMEOUT_SECONDS,
    ) -> Reply | EntryError:
        """Make one call; return the reply, or an error if it fails or the reply isn't JSON."""
        try:
            response = self._pool.request(
                method, self.url + path, body=body, timeout=timeout, headers=self._headers
            )
        except (HTTPError, OSError) as error:
            return EntryError(self.url, str(error))
        try:
            decoded = msgspec.json.decode(response.data)
        except msgspec.DecodeError:
            return EntryError(self.url, f"expected a JSON body (status {response.status})")
        return Reply(response.status, decoded, float(response.headers.get("Retry-After", "0")))

    def dump(self) -> dict[str, Any] | EntryError:
        """Return the state dump of the process."""
        reply = self.call("GET", "/v1/dump")
        if isinstance(reply, EntryError):
            return reply
        if reply.status != _OK or not isinstance(reply.body, dict):
            return EntryError(
                self.url, f"expected status 200 and a JSON object, found {reply.status}"
            )
        return reply.body

    def send_table(self, document: TableDocument) -> EntryError | None:
        """Send a table that the store has accepted directly to the entry."""
        reply = self.call("PUT", "/v1/table", msgspec.json.encode(document))
        if isinstance(reply, EntryError):
            return reply
        if reply.status != _ACCEPTED:
            return EntryError(
                self.url,
                f"expected status 202, found {reply.status}: {reply.body.get('error', '')}",
            )
        return None


def newest_table(clients: list[EntryClient]) -> TableDocument:
    """Return the newest table that a reachable entry follows, or an empty one."""
    newest = EMPTY_TABLE
    for client in clients:
        dump = client.dump()
        if isinstance(dump, EntryError):
            continue
        document = msgspec.convert(dump["table"], TableDocument)
        newest = max(newest, document, key=lambda table: table.revision)
    return newest

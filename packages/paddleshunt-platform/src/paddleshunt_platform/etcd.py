"""Client of the key-value service over the etcd v3 JSON gateway.

It uses `kv/range`, `kv/txn`, `watch`, `lease/grant` and `lease/keepalive` of the etcd API reference
(v3 gRPC gateway), with keys and values in base64 and 64-bit numbers as decimal strings. Calls are
not retried; the callers decide how to handle a lost answer.
"""

import base64
from collections.abc import Iterator
from typing import TypeVar, final

import msgspec
import urllib3
from urllib3.exceptions import HTTPError, MaxRetryError, NewConnectionError

from paddleshunt_platform.store import (
    ABSENT,
    Listing,
    StoreError,
    Unanswered,
    Unreachable,
    Value,
    VersionConflict,
    Written,
)

CALL_TIMEOUT = 3.0
"""Seconds a call may take."""

WATCH_TIMEOUT = 30.0
"""Seconds without data after which a watch ends, so that a broken connection is noticed."""

_STATUS_OK = 200

_Response = TypeVar("_Response")


class _KeyValue(msgspec.Struct):
    key: str
    value: str = ""
    mod_revision: str = "0"


class _Header(msgspec.Struct):
    revision: str = "0"


class _Range(msgspec.Struct):
    header: _Header
    kvs: list[_KeyValue] = []


class _TxnResponse(msgspec.Struct):
    response_range: _Range | None = None


class _Txn(msgspec.Struct):
    header: _Header
    succeeded: bool = False
    responses: list[_TxnResponse] = []


class _Event(msgspec.Struct):
    kv: _KeyValue
    type: str = "PUT"


class _WatchResult(msgspec.Struct):
    events: list[_Event] = []
    canceled: bool = False


class _WatchLine(msgspec.Struct):
    result: _WatchResult


class _Lease(msgspec.Struct):
    ID: str = "0"
    TTL: str = "0"


class _LeaseLine(msgspec.Struct):
    result: _Lease


@final
class EtcdStore:
    """Client of the store at `url`; safe to share between threads."""

    def __init__(self, url: str) -> None:
        self._url = url.rstrip("/")
        self._pool = urllib3.PoolManager(retries=False, maxsize=2)

    def get(self, key: str) -> Value | StoreError | None:
        """Return the key's value, None if the key is missing, or the error."""
        found = self._call("kv/range", {"key": _b64(key)}, _Range)
        if not isinstance(found, _Range):
            return found
        return _decode_value(found.kvs[0]) if found.kvs else None

    def list(self, prefix: str) -> Listing | StoreError:
        """Return all values whose keys start with `prefix`."""
        body = {"key": _b64(prefix), "range_end": _b64(_range_end(prefix))}
        found = self._call("kv/range", body, _Range)
        if not isinstance(found, _Range):
            return found
        return Listing(tuple(_decode_value(kv) for kv in found.kvs), int(found.header.revision))

    def compare_and_swap(
        self, key: str, data: bytes, version: int
    ) -> Written | VersionConflict | StoreError:
        """Write `data` if the key still has `version` (`ABSENT`: if it isn't there)."""
        encoded_key = _b64(key)
        body = {
            "compare": [_compare(encoded_key, version)],
            "success": [{"requestPut": {"key": encoded_key, "value": _b64(data)}}],
            "failure": [{"requestRange": {"key": encoded_key}}],
        }
        response = self._call("kv/txn", body, _Txn)
        if not isinstance(response, _Txn):
            return response
        if response.succeeded:
            return Written()
        ranges = [r.response_range for r in response.responses if r.response_range is not None]
        kvs = ranges[0].kvs if ranges else []
        return VersionConflict(_decode_value(kvs[0]) if kvs else None)

    def watch(self, prefix: str, after: int) -> Iterator[Value | StoreError]:
        """Yield values written under `prefix` after revision `after`; an error ends the watch."""
        request = {
            "key": _b64(prefix),
            "range_end": _b64(_range_end(prefix)),
            "start_revision": str(after + 1),
        }
        body = msgspec.json.encode({"create_request": request})
        timeout = urllib3.Timeout(connect=CALL_TIMEOUT, read=WATCH_TIMEOUT)
        try:
            response = self._pool.request(
                "POST", f"{self._url}/v3/watch", body=body, preload_content=False, timeout=timeout
            )
            try:
                for line in _read_lines(response):
                    yield from _written_values(line)
            finally:
                response.close()
        except (HTTPError, msgspec.MsgspecError, OSError) as error:
            yield Unanswered(str(error))
            return
        yield Unanswered("the service closed the watch")

    def grant_lease(self, seconds: int) -> int | StoreError:
        """Return the id of a new lease."""
        granted = self._call("lease/grant", {"TTL": str(seconds), "ID": "0"}, _Lease)
        return int(granted.ID) if isinstance(granted, _Lease) else granted

    def renew_lease(self, lease: int) -> bool | StoreError:
        """Renew a lease. Return False if it has expired."""
        kept = self._call("lease/keepalive", {"ID": str(lease)}, _LeaseLine)
        return int(kept.result.TTL) > 0 if isinstance(kept, _LeaseLine) else kept

    def _call(self, path: str, body: object, kind: type[_Response]) -> _Response | StoreError:
        raw = msgspec.json.encode(body)
        timeout = urllib3.Timeout(connect=CALL_TIMEOUT, read=CALL_TIMEOUT)
        try:
            response = self._pool.request(
                "POST", f"{self._url}/v3/{path}", body=raw, timeout=timeout
            )
        except (NewConnectionError, urllib3.exceptions.ConnectTimeoutError) as error:
            return Unreachable(str(error))
        except MaxRetryError as error:
            return Unanswered(str(error))
        except (HTTPError, OSError) as error:
            return Unanswered(str(error))
        if response.status != _STATUS_OK:
            return Unanswered(f"status {response.status}")
        try:
            return msgspec.json.decode(response.data, type=kind)
        except msgspec.MsgspecError as error:
            return Unanswered(f"invalid answer: {error}")


def _b64(text: str | bytes) -> str:
    raw = text.encode() if isinstance(text, str) else text
    return base64.b64encode(raw).decode()


def _range_end(prefix: str) -> bytes:
    """Return the first key after those that start with `prefix`."""
    raw = bytearray(prefix.encode())
    raw[-1] += 1
    return bytes(raw)


def _compare(encoded_key: str, version: int) -> dict[str, str]:
    if version == ABSENT:
        return {"key": encoded_key, "target": "VERSION", "result": "EQUAL", "version": "0"}
    return {"key": encoded_key, "target": "MOD", "result": "EQUAL", "mod_revision": str(version)}


def _decode_value(kv: _KeyValue) -> Value:
    key = base64.b64decode(kv.key).decode()
    return Value(key, base64.b64decode(kv.value), int(kv.mod_revision))


def _read_lines(response: urllib3.BaseHTTPResponse) -> Iterator[bytes]:
    """Yield the stream's non-empty lines as they arrive."""
    incomplete = b""
    while True:
        chunk = response.read1(65536)
        if not chunk:
            return
        *complete_lines, incomplete = (incomplete + chunk).split(b"\n")
        yield from (line for line in complete_lines if line.strip())


def _written_values(line: bytes) -> Iterator[Value]:
    result = msgspec.json.decode(line, type=_WatchLine).result
    for event in result.events:
        if event.type != "DELETE":
            yield _decode_value(event.kv)

"""Stand-in for the platform's key-value service: a subset of the etcd v3 JSON gateway, in memory.

It can simulate an outage, delays, answers lost after a write, and a restore from an old backup.
"""

import base64
import time
from dataclasses import dataclass, field
from threading import Condition
from typing import Any, final

import msgspec

from paddleshunt_platform.standins.server import Handler, StandIn

_POLL_SECONDS = 0.2
"""Longest wait for an event before a watch checks for an outage."""


@dataclass
class _Entry:
    value: bytes
    mod_revision: int
    version: int
    lease: int = 0


@dataclass
class _State:
    revision: int = 1
    entries: dict[bytes, _Entry] = field(default_factory=dict)
    events: list[tuple[bytes, _Entry]] = field(default_factory=list)


class _StoreHandler(Handler):
    stand_in: "StoreStandIn"

    def do_POST(self) -> None:  # noqa: N802
        """Serve one call of the gateway."""
        body = self.body()
        store = self.stand_in
        store.calls += 1
        time.sleep(store.delay)
        if store.down:
            self.close_connection = True
            return
        try:
            request = msgspec.json.decode(body)
            self._serve(request)
        except (msgspec.DecodeError, KeyError, ValueError) as error:
            self.answer(400, msgspec.json.encode({"error": repr(error), "code": 3}))

    def _serve(self, request: dict[str, Any]) -> None:
        store = self.stand_in
        match self.path:
            case "/v3/kv/range":
                self._json(store.range(request))
            case "/v3/kv/txn":
                answer = store.txn(request)
                if store.take_lost_answer():
                    self.close_connection = True
                    return
                self._json(answer)
            case "/v3/lease/grant":
                self._json(store.grant(int(request["TTL"])))
            case "/v3/lease/keepalive":
                self._json({"result": store.keep_alive(int(request["ID"]))})
            case "/v3/watch":
                self._watch(request["create_request"])
            case _:
                self.answer(404, b"{}")

    def _json(self, answer: object) -> None:
        self.answer(200, msgspec.json.encode(answer))

    def _watch(self, request: dict[str, Any]) -> None:
        self.send_response(200)
        self.send_header("Content-Type", "application/json")
        self.send_header("Transfer-Encoding", "chunked")
        self.end_headers()
        self._chunk({"result": {"header": self.stand_in.header(), "created": True}})
        next_revision = int(request.get("start_revision", "0"))
        while not self.stand_in.down:
            events = self.stand_in.events_from(request, next_revision)
            if events:
                next_revision = max(int(event["kv"]["mod_revision"]) for event in events) + 1
                self._chunk({"result": {"header": self.stand_in.header(), "events": events}})
        self.close_connection = True

    def _chunk(self, answer: object) -> None:
        line = msgspec.json.encode(answer) + b"\n"
        self.wfile.write(f"{len(line):x}\r\n".encode() + line + b"\r\n")
        self.wfile.flush()


@final
class StoreStandIn(StandIn):
    """The service, with faults set by attributes.

    `down` is an outage, `delay` the seconds before each call is served, and `lose_answers` the
    number of transactions that are served without an answer.
    """

    def __init__(self, port: int = 0) -> None:
        self._state = _State()
        self._saved = _State()
        self._changed = Condition()  # its lock is reentrant: txn calls range
        self._leases: dict[int, float] = {}
        self.down = False
        self.delay = 0.0
        self.lose_answers = 0
        self.calls = 0
        super().__init__(_StoreHandler, port)

    def save(self) -> None:
        """Save the current state for `restore`."""
        with self._changed:
            self._saved = _copy(self._state)

    def restore(self) -> None:
        """Return to the saved state, as after a restore from an old backup."""
        with self._changed:
            self._state = _copy(self._saved)

    def take_lost_answer(self) -> bool:
        """Return whether to drop the answer to this write; decrement `lose_answers` if so."""
        if self.lose_answers == 0:
            return False
        self.lose_answers -= 1
        return True

    def header(self) -> dict[str, str]:
        """Return the header of an answer."""
        return {"revision": str(self._state.revision)}

    def range(self, request: dict[str, Any]) -> dict[str, Any]:
        """Serve `kv/range`."""
        with self._changed:
            found = [
                _kv(key, entry)
                for key, entry in sorted(self._state.entries.items())
                if _covers(request, key)
            ]
            return {"header": self.header(), "kvs": found, "count": str(len(found))}

    def txn(self, request: dict[str, Any]) -> dict[str, Any]:
        """Serve `kv/txn` with compares of `MOD` or `VERSION` for equality."""
        with self._changed:
            succeeded = all(self._matches(compare) for compare in request.get("compare", []))
            operations = request.get("success" if succeeded else "failure", [])
            responses = [self._apply(operation) for operation in operations]
            self._changed.notify_all()
            return {"header": self.header(), "succeeded": succeeded, "responses": responses}

    def grant(self, seconds: int) -> dict[str, str]:
        """Serve `lease/grant`."""
        with self._changed:
            lease_id = 1000 + len(self._leases)
            self._leases[lease_id] = time.monotonic() + seconds
            return {"ID": str(lease_id), "TTL": str(seconds)}

    def keep_alive(self, lease_id: int) -> dict[str, str]:
        """Serve `lease/keepalive`: renew for 10 s; an expired lease has a time to live of 0."""
        with self._changed:
            remaining = self._leases.get(lease_id, 0.0) - time.monotonic()
            if remaining <= 0:
                return {"ID": str(lease_id), "TTL": "0"}
            self._leases[lease_id] = time.monotonic() + 10
            return {"ID": str(lease_id), "TTL": "10"}

    def events_from(self, request: dict[str, Any], revision: int) -> list[dict[str, Any]]:
        """Return the writes from `revision` on that a watch covers; may wait briefly for one."""
        with self._changed:
            found = self._events(request, revision)
            if not found:
                self._changed.wait(_POLL_SECONDS)
                found = self._events(request, revision)
            return found

    def _events(self, request: dict[str, Any], revision: int) -> list[dict[str, Any]]:
        return [
            {"type": "PUT", "kv": _kv(key, entry)}
            for key, entry in self._state.events
            if entry.mod_revision >= revision and _covers(request, key)
        ]

    def _matches(self, compare: dict[str, Any]) -> bool:
        entry = self._state.entries.get(base64.b64decode(compare["key"]))
        match compare["target"]:
            case "MOD":
                found, expected = entry.mod_revision if entry else 0, compare["mod_revision"]
            case "VERSION":
                found, expected = entry.version if entry else 0, compare["version"]
            case _:
                raise ValueError(compare["target"])
        return found == int(expected)

    def _apply(self, operation: dict[str, Any]) -> dict[str, Any]:
        if "requestRange" in operation:
            return {"response_range": self.range(operation["requestRange"])}
        put = operation["requestPut"]
        key = base64.b64decode(put["key"])
        self._state.revision += 1
        previous = self._state.entries.get(key)
        version = previous.version + 1 if previous else 1
        entry = _Entry(base64.b64decode(put["value"]), self._state.revision, version)
        self._state.entries[key] = entry
        self._state.events.append((key, entry))
        return {"response_put": {"header": self.header()}}


def _copy(state: _State) -> _State:
    return _State(state.revision, dict(state.entries), list(state.events))


def _covers(request: dict[str, Any], key: bytes) -> bool:
    first = base64.b64decode(request["key"])
    if "range_end" not in request:
        return key == first
    return first <= key < base64.b64decode(request["range_end"])


def _kv(key: bytes, entry: _Entry) -> dict[str, str]:
    return {
        "key": base64.b64encode(key).decode(),
        "value": base64.b64encode(entry.value).decode(),
        "mod_revision": str(entry.mod_revision),
        "version": str(entry.version),
    }

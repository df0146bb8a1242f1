"""A stand-in of the platform's store, by its published protocol, with faults that a soak sets.

Each process of the deployment has a listener of its own, so that the store can turn single ones
away.
"""

import asyncio
import base64
import json
from dataclasses import dataclass, field
from time import monotonic
from typing import Any
from urllib.parse import parse_qs

import soakwords
from paddleshunt_node.aio.httpserver import Exchange, HttpServer, Response

STEP_SECONDS = 0.02


@dataclass(slots=True)
class StoreFaults:
    """What is wrong with the store now."""

    down: bool = False
    """Says nothing to anybody, and does nothing."""
    slow: float = 0.0
    loses_answers: bool = False
    """Does what it is asked, and says nothing."""
    turned_away: set[str] = field(default_factory=set)
    """Processes that get a 503."""
    odd_items: bool = False
    """Lists items of other writers beside its own."""


@dataclass
class _Item:
    value: bytes
    revision: int
    lease: int


class SoakStore:
    """One store, whose clients are known by the listener that they call."""

    def __init__(self) -> None:
        self.faults = StoreFaults()
        self.calls = 0
        self._items: dict[str, _Item] = {}
        self._gone: list[tuple[int, str]] = []
        self._revision = 1
        self._oldest = 0
        self._leases: dict[int, tuple[float, float]] = {}
        self._next_lease = 100
        self._watches: list[tuple[float, str, int, Exchange]] = []

    async def listen(self, client: str, address: tuple[str, int]) -> None:
        """Serve one process."""
        await HttpServer(_Listener(self, client)).start(f"{address[0]}:{address[1]}")

    async def run(self) -> None:
        """Let leases and watches run out, until cancelled."""
        while True:
            now = monotonic()
            for lease, (end, _) in list(self._leases.items()):
                if end <= now and not self.faults.down:
                    self._end_lease(lease)
            self._answer_watches(now)
            await asyncio.sleep(STEP_SECONDS)

    def put(self, key: str, value: bytes, lease: int = 0) -> None:
        """Write an item, as the operator does."""
        self._revision += 1
        self._items[key] = _Item(value, self._revision, lease)

    def remove(self, key: str) -> None:
        """Take an item away, as the operator does."""
        if self._items.pop(key, None) is not None:
            self._revision += 1
            self._gone.append((self._revision, key))

    def end_leases(self) -> None:
        """Take all keys away that are under a lease, at once."""
        for lease in list(self._leases):
            self._end_lease(lease)

    def has(self, key: str) -> bool:
        """Whether there is an item."""
        return key in self._items

    def forget_history(self) -> None:
        """Answer watches from before now with 410."""
        self._oldest = self._revision + 1
        self._revision += 1

    def handle(self, client: str, exchange: Exchange) -> None:
        """Take a call of one process."""
        self.calls += 1
        if self.faults.down:
            return
        if client in self.faults.turned_away:
            exchange.respond(Response(503))
            return
        if self.faults.slow:
            asyncio.get_running_loop().call_later(self.faults.slow, self._serve, exchange)
            return
        self._serve(exchange)

    def abandoned(self, exchange: Exchange) -> None:
        """Forget the watch of a client that has gone."""
        self._watches = [watch for watch in self._watches if watch[3] is not exchange]

    def _serve(self, exchange: Exchange) -> None:
        path, _, query = exchange.request.target.partition("?")
        asked: dict[str, Any] = {key: value[0] for key, value in parse_qs(query).items()}
        if exchange.request.body:
            asked |= json.loads(exchange.request.body)
        name, _, which = path.removeprefix("/paddleshunt/").partition("/")
        if name == "kv-watch":
            self._watch(exchange, asked)
            return
        status, body = {
            "kv-key": lambda: self._key(asked),
            "kv-range": lambda: self._range(asked),
            "kv-lease": lambda: self._grant(asked),
            "kv-keep": lambda: self._keep(int(which)),
            "kv-lease-end": lambda: self._over(int(which)),
            "kv-txn": lambda: self._txn(asked),
        }[name]()
        if not self.faults.loses_answers:
            _answer(exchange, status, body)

    def _key(self, asked: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        item = self._items.get(asked["key"])
        if item is None:
            return 404, {}
        return 200, {**self._row(asked["key"]), "at": self._revision}

    def _range(self, asked: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        keys = sorted(key for key in self._items if key.startswith(asked["path_prefix"]))
        items = [*self._odd(), *(self._row(key) for key in keys)]
        return 200, {"items": items, "more": False, "at": self._revision}

    def _odd(self) -> tuple[object, ...]:
        return soakwords.ITEMS if self.faults.odd_items else ()

    def _grant(self, asked: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        self._next_lease += 1
        seconds = int(asked["ttl_ms"]) / 1000
        self._leases[self._next_lease] = (monotonic() + seconds, seconds)
        return 200, {"lease": self._next_lease, "ttl_ms": asked["ttl_ms"]}

    def _keep(self, lease: int) -> tuple[int, dict[str, Any]]:
        if lease not in self._leases:
            return 404, {}
        seconds = self._leases[lease][1]
        self._leases[lease] = (monotonic() + seconds, seconds)
        return 200, {"ttl_ms": round(seconds * 1000)}

    def _over(self, lease: int) -> tuple[int, dict[str, Any]]:
        self._end_lease(lease)
        return 200, {}

    def _txn(self, asked: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        for row in asked["put"]:
            if row.get("lease", 0) and row["lease"] not in self._leases:
                return 404, {}
        for row in asked["put"]:
            self.put(row["key"], base64.b64decode(row["value"]), row.get("lease", 0))
        return 200, {"revision": self._revision}

    def _watch(self, exchange: Exchange, asked: dict[str, Any]) -> None:
        since = int(asked["depends_on"])
        if since < self._oldest:
            _answer(exchange, 410, {})
            return
        due = monotonic() + int(asked["wait_ms"]) / 1000
        self._watches.append((due, asked["path_prefix"], since, exchange))
        self._answer_watches(monotonic())

    def _answer_watches(self, now: float) -> None:
        if self.faults.down:
            return
        for watch in list(self._watches):
            due, prefix, since, exchange = watch
            events: list[object] = [
                self._row(key)
                for key, item in self._items.items()
                if key.startswith(prefix) and item.revision > since
            ]
            events += [
                {"key": key, "revision": revision, "gone": True}
                for revision, key in self._gone
                if key.startswith(prefix) and revision > since
            ]
            if events or now >= due:
                self._watches.remove(watch)
                if not self.faults.loses_answers:
                    told = [*self._odd(), *events] if events else []
                    _answer(exchange, 200, {"events": told, "at": self._revision})

    def _end_lease(self, lease: int) -> None:
        self._leases.pop(lease, None)
        for key in [key for key, item in self._items.items() if item.lease == lease and lease]:
            del self._items[key]
            self._revision += 1
            self._gone.append((self._revision, key))

    def _row(self, key: str) -> dict[str, Any]:
        item = self._items[key]
        value = base64.b64encode(item.value).decode()
        return {"key": key, "value": value, "revision": item.revision, "lease": item.lease}


class _Listener:
    def __init__(self, store: SoakStore, client: str) -> None:
        self._store = store
        self._client = client

    def handle(self, exchange: Exchange) -> None:
        self._store.handle(self._client, exchange)

    def abandoned(self, exchange: Exchange) -> None:
        self._store.abandoned(exchange)


def _answer(exchange: Exchange, status: int, body: dict[str, Any]) -> None:
    exchange.respond(Response(status, json.dumps(body).encode(), "application/json"))

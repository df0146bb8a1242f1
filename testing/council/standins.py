"""Small stand-ins of the platform's runner and store, answering over HTTP on loopback."""

import base64
import json
from collections.abc import Callable
from urllib.parse import parse_qs

from paddleshunt_node.aio.httpserver import Exchange, HttpServer, Response
from paddleshunt_platform.standins.ports import free_port


class StandIn:
    """Answers each path by a function of the request; None holds the request."""

    def __init__(self) -> None:
        self.calls: list[tuple[str, dict[str, object]]] = []
        self.address = ""

    async def start(self) -> None:
        port = free_port()
        self.address = f"127.0.0.1:{port}"
        await HttpServer(self).start(f"127.0.0.1:{port}")

    def handle(self, exchange: Exchange) -> None:
        request = exchange.request
        body = json.loads(request.body) if request.body else {}
        query = {k: v[0] for k, v in parse_qs(request.target.partition("?")[2]).items()}
        self.calls.append((request.path, {**body, **query}))
        answer = self.answer(request.path, {**body, **query}, request.headers)
        if answer is not None:
            status, content = answer
            exchange.respond(Response(status, json.dumps(content).encode(), "application/json"))

    def abandoned(self, exchange: Exchange) -> None:
        pass

    def answer(
        self, path: str, asked: dict[str, object], headers: dict[str, str]
    ) -> tuple[int, object] | None:
        raise NotImplementedError


class RunnerStandIn(StandIn):
    """A runner whose answers a test sets."""

    def __init__(self) -> None:
        super().__init__()
        self.life = "i-1"
        self.born: int | None = None
        """When this life started (ms since 1970), told with each answer; None to tell nothing."""
        self.clock = 5000
        self.status = 200
        self.reason = ""
        self.silent = False
        self.running: list[list[object]] = []
        self.finished: list[list[object]] = []

    def answer(
        self, path: str, asked: dict[str, object], headers: dict[str, str]
    ) -> tuple[int, object] | None:
        if self.silent:
            return None
        if headers.get("x-expected-instance", self.life) != self.life:
            return 421, {}
        content: dict[str, object] = {"clock_ms": self.clock, "reason": self.reason}
        if self.born is not None:
            content["born"] = self.born
        if path.endswith("/hold"):
            content |= {"running": self.running, "finished": self.finished}
        return self.status, content


class StoreStandIn(StandIn):
    """A store with items, a revision, and one lease."""

    def __init__(self) -> None:
        super().__init__()
        self.items: dict[str, bytes] = {}
        self.removed: dict[str, int] = {}
        """Revision at which a key went."""
        self.deaf = False
        """Whether watches hear nothing, as before a history is forgotten."""
        self.page = 500
        """Items on a page."""
        self.revision = 1
        self.history_gone = False
        self.status = 200
        self.leases: set[int] = set()
        self.grants_over = False
        """Whether a lease is over as soon as it was granted."""

    def put(self, key: str, value: bytes) -> None:
        self.items[key] = value
        self.revision += 1

    def take_keys(self, *, lease_too: bool) -> None:
        """Take the keys of the lease away, as from a host that is turned away."""
        for key in [key for key in self.items if not key.startswith("op/")]:
            self.remove(key)
        if lease_too:
            self.leases.clear()

    def remove(self, key: str) -> None:
        del self.items[key]
        self.revision += 1
        self.removed[key] = self.revision

    def answer(
        self, path: str, asked: dict[str, object], headers: dict[str, str]
    ) -> tuple[int, object] | None:
        if self.status != 200:
            return self.status, {}
        name = path.removeprefix("/paddleshunt/").partition("/")[0]
        action: Callable[[dict[str, object], str], tuple[int, object]] = getattr(
            self, "_" + name.replace("-", "_")
        )
        return action(asked, path)

    def _kv_key(self, asked: dict[str, object], path: str) -> tuple[int, object]:
        value = self.items.get(str(asked["key"]))
        if value is None:
            return 404, {}
        return 200, {"value": base64.b64encode(value).decode(), "at": self.revision}

    def _kv_range(self, asked: dict[str, object], path: str) -> tuple[int, object]:
        prefix = str(asked["path_prefix"])
        after = str(asked.get("depends_on", ""))
        keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
        items = [self._item(key) for key in keys[: self.page]]
        return 200, {"items": items, "more": len(keys) > self.page, "at": self.revision}

    def _kv_watch(self, asked: dict[str, object], path: str) -> tuple[int, object]:
        if self.history_gone:
            self.history_gone = False
            return 410, {}
        since = int(str(asked["depends_on"]))
        if since >= self.revision or self.deaf:
            return 200, {"events": [], "at": self.revision}
        prefix = str(asked["path_prefix"])
        events = [self._item(key) for key in self.items if key.startswith(prefix)]
        events += [
            {"key": key, "revision": revision, "gone": True}
            for key, revision in self.removed.items()
            if key.startswith(prefix) and revision > since
        ]
        return 200, {"events": events, "at": self.revision}

    def _kv_lease(self, asked: dict[str, object], path: str) -> tuple[int, object]:
        if not self.grants_over:
            self.leases.add(77)
        return 200, {"lease": 77, "ttl_ms": asked["ttl_ms"]}

    def _kv_keep(self, asked: dict[str, object], path: str) -> tuple[int, object]:
        return (200, {"ttl_ms": 1000}) if 77 in self.leases else (404, {})

    def _kv_lease_end(self, asked: dict[str, object], path: str) -> tuple[int, object]:
        self.leases.clear()
        return 200, {}

    def _kv_txn(self, asked: dict[str, object], path: str) -> tuple[int, object]:
        puts = asked["put"]
        assert isinstance(puts, list)
        if any(put.get("lease", 0) not in (0, *self.leases) for put in puts):
            return 404, {}
        for put in puts:
            self.put(put["key"], base64.b64decode(put["value"]))
        return 200, {"revision": self.revision}

    def _item(self, key: str) -> dict[str, object]:
        value = base64.b64encode(self.items[key]).decode()
        return {"key": key, "value": value, "revision": self.revision, "lease": 0}

"""A small deployment of the real programs on loopback, among stand-ins written from the pages.

The programs are started with the `run` lines of `deploy/system.toml` and settings filled in from
its templates, and are found in `target/deps`. The stand-ins (store, runners, clients) need the
standard library only. Each process has an address of its own in 127/8, as hosts have.
"""

import asyncio
import base64
import itertools
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, unquote

ROOT = Path(__file__).parents[2]
FAILED, HELD, CANNOT_RUN = 1, 0, 2

BOUNDS = {
    "resend_ms": 1300,
    "hold_max_ms": 1000,
    "stop_timeout_ms": 50,
    "drain_ms": 2000,
    "config_apply_ms": 2000,
    "grace_s": 6,
    "remote_factor": 1.5,
}
"""Bounds of the site `waitaha-results`, as far as the templates use them."""


class CannotRunError(Exception):
    """The scene could not be set up."""


# HTTP


@dataclass
class Call:
    """One request as a stand-in reads it."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes

    def json(self) -> dict[str, Any]:
        return json.loads(self.body) if self.body else {}


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Return the first line and the headers of a message, their names in lower case."""
    raw = await reader.readuntil(b"\r\n\r\n")
    first, *lines = raw.decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in lines if line)
    return first, {name.strip().lower(): value.strip() for name, _, value in pairs}


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    return await reader.readexactly(int(headers.get("content-length", "0")))


def message(first: str, body: bytes, headers: dict[str, str] | None = None) -> bytes:
    fields = {"Content-Length": str(len(body)), **(headers or {})}
    if body:
        fields.setdefault("Content-Type", "application/json")
    lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    return f"{first}\r\n{lines}\r\n".encode("latin-1") + body


Handler = Callable[[Call], Awaitable[tuple[int, dict[str, Any]] | None]]


class Server:
    """An HTTP/1.1 server; a handler that returns None closes the connection unanswered."""

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))

    def stop(self) -> None:
        """End as a crashed process does: the port and all connections are reset."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            with suppress(RuntimeError):
                writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while True:
                first, headers = await read_head(reader)
                method, target, _ = first.split(" ")
                path, _, query = target.partition("?")
                asked = {name: values[0] for name, values in parse_qs(query).items()}
                body = await read_body(reader, headers)
                answer = await self._handler(Call(method, unquote(path), asked, headers, body))
                if answer is None:
                    return
                status, content = answer
                raw = json.dumps(content).encode()
                writer.write(message(f"HTTP/1.1 {status} X", raw))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


@dataclass
class Answer:
    """The answer to a client's call; status 0 if the connection ended without one."""

    status: int
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""

    def json(self) -> dict[str, Any]:
        return json.loads(self.body) if self.body else {}


class Connection:
    """One connection of a client; requests go out one after another."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._reader, self._writer = reader, writer

    @classmethod
    async def open(cls, address: str) -> "Connection":
        host, _, port = address.rpartition(":")
        return cls(*await asyncio.wait_for(asyncio.open_connection(host, int(port)), 2))

    def send(self, method: str, path: str, body: bytes, headers: dict[str, str]) -> None:
        self._writer.write(message(f"{method} {path} HTTP/1.1", body, headers))

    async def receive(self) -> Answer:
        try:
            first, headers = await read_head(self._reader)
            return Answer(int(first.split(" ")[1]), headers, await read_body(self._reader, headers))
        except (asyncio.IncompleteReadError, ConnectionError):
            return Answer(0)

    def close(self) -> None:
        self._writer.close()


async def call(
    address: str,
    method: str,
    path: str,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
    timeout: float = 30.0,
) -> Answer:
    """Make one call on a connection of its own; status 0 if there is no answer in time."""
    try:
        connection = await Connection.open(address)
    except (OSError, TimeoutError):
        return Answer(0)
    try:
        connection.send(method, path, body, headers or {})
        return await asyncio.wait_for(connection.receive(), timeout)
    except (OSError, TimeoutError):
        return Answer(0)
    finally:
        connection.close()


# The platform's store


@dataclass
class Item:
    value: bytes
    revision: int
    made: int
    lease: int


class Store:
    """The platform's metadata store: items, leases, watches with history."""

    def __init__(self) -> None:
        self.items: dict[str, Item] = {}
        self.revision = 1
        self._history: list[tuple[int, str, dict[str, Any]]] = []
        self._leases: dict[int, tuple[float, float]] = {}
        self._numbers = itertools.count(100)
        self._changed = asyncio.Event()
        self.server = Server(self.handle)

    def put(self, key: str, value: bytes, lease: int = 0) -> int:
        self.revision += 1
        known = self.items.get(key)
        made = known.made if known else self.revision
        self.items[key] = Item(value, self.revision, made, lease)
        self._tell(key, self._row(key))
        return self.revision

    def remove(self, key: str) -> None:
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._tell(key, {"key": key, "revision": self.revision, "gone": True})

    def _tell(self, key: str, event: dict[str, Any]) -> None:
        self._history.append((self.revision, key, event))
        self._changed.set()
        self._changed = asyncio.Event()

    def _row(self, key: str) -> dict[str, Any]:
        item = self.items[key]
        value = base64.b64encode(item.value).decode()
        return {
            "key": key,
            "value": value,
            "revision": item.revision,
            "made": item.made,
            "lease": item.lease,
        }

    def _expire(self) -> None:
        now = time.monotonic()
        for lease, (end, _) in list(self._leases.items()):
            if end <= now:
                self._end(lease)

    def _end(self, lease: int) -> None:
        self._leases.pop(lease, None)
        for key in [key for key, item in self.items.items() if item.lease == lease]:
            self.remove(key)

    async def handle(self, asked: Call) -> tuple[int, dict[str, Any]] | None:
        self._expire()
        name, _, which = asked.path.removeprefix("/paddleshunt/").partition("/")
        match name:
            case "kv-key":
                key = asked.query["key"]
                if key not in self.items:
                    return 404, {"at": self.revision}
                return 200, {**self._row(key), "at": self.revision}
            case "kv-range":
                prefix, after = asked.query["path_prefix"], asked.query.get("depends_on", "")
                keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
                rows = [self._row(key) for key in keys]
                return 200, {"items": rows, "more": False, "at": self.revision}
            case "kv-watch":
                return 200, await self._watch(asked.query)
            case "kv-lease":
                ttl = max(1000, int(asked.json()["ttl_ms"]))
                lease = next(self._numbers)
                self._leases[lease] = (time.monotonic() + ttl / 1000, ttl / 1000)
                return 200, {"lease": lease, "ttl_ms": ttl}
            case "kv-keep":
                if int(which) not in self._leases:
                    return 404, {}
                seconds = self._leases[int(which)][1]
                self._leases[int(which)] = (time.monotonic() + seconds, seconds)
                return 200, {"ttl_ms": round(seconds * 1000)}
            case "kv-lease-end":
                self._end(int(which))
                return 200, {}
            case "kv-txn":
                return self._txn(asked.json())
        return 404, {}

    async def _watch(self, query: dict[str, str]) -> dict[str, Any]:
        prefix, since = query["path_prefix"], int(query["depends_on"])
        due = time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            events = [e for r, key, e in self._history if r > since and key.startswith(prefix)]
            left = due - time.monotonic()
            if events or left <= 0:
                return {"events": events, "at": self.revision}
            with suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left)

    def _txn(self, asked: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        expected = asked.get("expected_revision", [])
        now = {row["key"]: self.items.get(row["key"]) for row in expected}
        revisions = {key: item.revision if item else 0 for key, item in now.items()}
        if any(revisions[row["key"]] != row["revision"] for row in expected):
            return 412, {"items": [self._row(key) for key, item in now.items() if item]}
        puts = asked.get("put", [])
        if any(row.get("lease") and row["lease"] not in self._leases for row in puts):
            return 404, {}
        for row in puts:
            self.put(row["key"], base64.b64decode(row["value"]), row.get("lease", 0))
        for key in asked.get("remove", []):
            self.remove(key)
        return 200, {"revision": self.revision}


# Runners


@dataclass
class Run:
    """One run as its runner saw it; times are steady seconds."""

    task: str
    number: int
    runner: str
    life: str
    labels: tuple[str, ...]
    began: float
    due: float
    end: float | None = None
    how: str = ""
    stopping: bool = False

    @property
    def last(self) -> float:
        """When it ended, or now if it is at work."""
        return time.monotonic() if self.end is None else self.end


class Runner:
    """A sound runner: one lease for all runs, fencing, numbers of runs, ends until noted.

    A task takes as many milliseconds as its spec says.
    """

    HOLD_MAX = 1.0
    STOP = 0.03
    BEAT = 1.5

    def __init__(self, name: str, address: str, control: str, log: "Record", **facts: Any) -> None:
        self.name, self.address, self.control = name, address, control
        self.log = log
        self.service = facts.get("service", "svc")
        self.zone = facts.get("zone", "hall")
        self.labels = facts.get("labels", ["a", "r1-1"])
        self.capacity = {"cpu": facts.get("cpu", 16000), "mem_mb": 32768, "gpu": 0}
        self.guards = facts.get("guards", True)
        self.runs: list[Run] = []
        self.up = False
        self._lives = 0
        self._server: Server | None = None
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Begin a new life."""
        self._lives += 1
        self.life = f"i-{self.name}-{self._lives}"
        self.state = "ready"
        self.acknowledged: float | None = None
        self._born = self._beat_at = time.monotonic()
        self._sequence = 0
        self._fence = 0
        self._deadline = 0
        self._ends = 0
        self._seen = 0
        self._finished: list[list[Any]] = []
        self._running: dict[str, Run] = {}
        self._highest: dict[str, int] = {}
        self._needs: dict[str, int] = {}
        self._moved = asyncio.Event()
        self.up = True
        self.log.write("runner_started", runner=self.name, life=self.life, labels=self.labels)
        self._server = Server(self.handle)
        await self._server.start(self.address)
        self._tasks = [asyncio.ensure_future(self._beat()), asyncio.ensure_future(self._step())]

    def crash(self) -> None:
        """End without a word, with all that runs."""
        now = time.monotonic()
        self.up = False
        for task in self._tasks:
            task.cancel()
        if self._server is not None:
            self._server.stop()
        for run in self._running.values():
            run.end, run.how = now, "died"
        self._running = {}
        self.log.write("runner_crashed", runner=self.name, life=self.life)

    def _clock(self) -> int:
        return 10_000 + int((time.monotonic() - self._born) * 1000)

    def next_beat_in(self) -> float:
        """Return the seconds until the next heartbeat."""
        return self._beat_at - time.monotonic()

    async def _beat(self) -> None:
        while True:
            status = await self.say()
            self._beat_at = time.monotonic() + (self.BEAT if status == 200 else 0.3)
            await asyncio.sleep(self.BEAT if status == 200 else 0.3)

    async def say(self) -> int:
        """Send a heartbeat; return the status of its answer, 0 for none."""
        self._sequence += 1
        state = self.state
        account = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": state,
            "cold_remaining_ms": 0,
            "capacity": self.capacity,
            "labels": self.labels,
            "clock_ms": self._clock(),
            "sequence": self._sequence,
        }
        path = f"/paddleshunt/Instances.Heartbeat/{self.life}"
        answer = await call(self.control, "POST", path, json.dumps(account).encode(), timeout=1.0)
        if answer.status == 200 and state == "draining" and self.acknowledged is None:
            self.acknowledged = time.monotonic()
        return answer.status

    async def _step(self) -> None:
        while True:
            self._let_end()
            await asyncio.sleep(0.003)

    def _let_end(self) -> None:
        now = time.monotonic()
        lease_over = self._clock() > self._deadline
        for run in list(self._running.values()):
            if lease_over:
                self._end(run, "lapsed")
            elif now >= run.due:
                self._end(run, "stopped" if run.stopping else "done")

    def _end(self, run: Run, how: str) -> None:
        run.end, run.how = time.monotonic(), how
        del self._running[run.task]
        del self._needs[run.task]
        self._highest[run.task] = max(self._highest.get(run.task, 0), run.number)
        self._ends += 1
        self._finished.append([self._ends, run.task, run.number, how, ""])
        self._moved.set()
        self._moved = asyncio.Event()
        self.log.write("run_ended", runner=self.name, task=run.task, run=run.number, how=how)

    async def handle(self, asked: Call) -> tuple[int, dict[str, Any]] | None:
        if not self.up:
            return None
        if asked.path == "/health":
            return 200, {}
        if asked.headers.get("x-expected-instance", self.life) != self.life:
            return 421, {}
        self._let_end()
        body = asked.json()
        token = int(body.get("fencing_token", 0))
        if token < self._fence:
            return 409, {"clock_ms": self._clock(), "reason": "fence"}
        self._fence = token
        match asked.path.removeprefix("/paddleshunt/"):
            case "run-start":
                return self._start_run(body)
            case "run-stop":
                return self._stop_run(body)
            case "hold":
                return 200, await self._hold(body)
        return 404, {"clock_ms": self._clock()}

    def _prolong(self, deadline: int) -> None:
        longest = self._clock() + int(self.HOLD_MAX * 1000)
        self._deadline = max(self._deadline, min(deadline, longest))

    def _start_run(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        task, number, clock = str(body["task"]), int(body["run"]), self._clock()
        if int(body["deadline_ms"]) <= clock:
            return 409, {"clock_ms": clock, "reason": "late"}
        self._prolong(int(body["deadline_ms"]))
        known = self._running.get(task)
        if known is not None and known.number == number:
            return 200, {"clock_ms": clock}
        if known is not None or number <= self._highest.get(task, 0):
            return 409, {"clock_ms": clock, "reason": "old"}
        need, length = (int(part) for part in str(body["spec"]).split())
        if self.guards and sum(self._needs.values()) + need > self.capacity["cpu"]:
            return 409, {"clock_ms": clock, "reason": "room"}
        now = time.monotonic()
        labels = tuple(self.labels)
        run = Run(task, number, self.name, self.life, labels, now, now + length / 1000)
        self._running[task], self._needs[task] = run, need
        self.runs.append(run)
        self.log.write("run_started", runner=self.name, life=self.life, task=task, run=number)
        return 200, {"clock_ms": clock}

    def _stop_run(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        task, number = str(body["task"]), int(body["run"])
        self._highest[task] = max(self._highest.get(task, 0), number)
        run = self._running.get(task)
        if run is not None and run.number == number and not run.stopping:
            run.stopping, run.due = True, time.monotonic() + self.STOP
        return 200, {"clock_ms": self._clock()}

    async def _hold(self, body: dict[str, Any]) -> dict[str, Any]:
        if "deadline_ms" in body:
            self._prolong(int(body["deadline_ms"]))
        seen = int(body.get("last_seen", 0))
        self._seen = max(self._seen, seen)
        self._finished = [row for row in self._finished if row[0] > self._seen]
        life, due = self._lives, time.monotonic() + int(body.get("wait_ms", 0)) / 1000
        while life == self._lives and not self._finished and (left := due - time.monotonic()) > 0:
            with suppress(TimeoutError):
                await asyncio.wait_for(self._moved.wait(), left)
        now = time.monotonic()
        finished = [row for row in self._finished if row[0] > self._seen]
        running = [
            [r.task, r.number, "", min(99, int(100 * (now - r.began) / (r.due - r.began + 1e-9))), 0]
            for r in self._running.values()
        ]
        return {"clock_ms": self._clock(), "running": running, "finished": finished[:500]}


# The record and the processes


class Record:
    """What was sent, answered and run, in `record.txt`."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w")
        self._origin = time.monotonic()

    def write(self, event: str, **fields: object) -> None:
        pairs = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{time.monotonic() - self._origin:8.3f} {event} {pairs}\n")
        self._file.flush()

    def close(self) -> None:
        self._file.close()


def _fill(template: str, fields: dict[str, Any]) -> str:
    """Fill a template as the platform does, as far as the two templates need it."""

    def look_up(name: str) -> Any:
        found: Any = fields
        for part in name.split("."):
            if isinstance(found, list):
                found = found[int(part)] if int(part) < len(found) else None
            else:
                found = found.get(part) if isinstance(found, dict) else None
        return found

    def section(match: re.Match[str]) -> str:
        return match[2] if look_up(match[1]) else ""

    def value(match: re.Match[str]) -> str:
        name, _, form = match[1].partition("|")
        found = look_up(name)
        return json.dumps(found) if form == "json" else str("" if found is None else found)

    filled = re.sub(r"\{\{#([^}]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.DOTALL)
    return re.sub(r"\{\{([^}]+)\}\}", value, filled)


class Process:
    """One of the project's programs; it is signalled by its id and by nothing else."""

    def __init__(self, scene: "Scene", name: str, role: str, ip: str) -> None:
        self._scene = scene
        self.name, self.role, self.ip = name, role, ip
        self.popen: subprocess.Popen[bytes] | None = None

    def address(self, port: str) -> str:
        return f"{self.ip}:{self._scene.ports[port]}"

    @property
    def up(self) -> bool:
        return self.popen is not None and self.popen.poll() is None

    def start(self) -> None:
        scene = self._scene
        settings = scene.folder / f"{self.name}.toml"
        settings.write_text(scene.settings(self))
        words = scene.roles[self.role]["run"].split()
        variables = {"PYTHONPATH": str(ROOT / "target" / "deps"), "PATH": os.environ["PATH"]}
        variables["HOME"] = os.environ.get("HOME", "/")
        command = [*words, "--settings", str(settings)]
        with (scene.folder / f"{self.name}.log").open("ab") as log:
            self.popen = subprocess.Popen(command, cwd=ROOT, env=variables, stdout=log, stderr=log)
        scene.record.write("process_started", name=self.name, pid=self.popen.pid)

    def send(self, number: signal.Signals) -> None:
        if self.popen is not None and self.up:
            self.popen.send_signal(number)
            self._scene.record.write("signal", name=self.name, signal=number.name)

    def end(self) -> None:
        if self.popen is not None and self.up:
            self.popen.send_signal(signal.SIGCONT)
            self.popen.kill()
        if self.popen is not None:
            self.popen.wait()


ROUTE = {
    "name": "r-1",
    "host": "tally.example",
    "path_prefix": "/tally/",
    "kind": "non_idempotent",
    "timeout_ms": 1500,
    "target_latency_ms": 60,
    "priority": 0,
    "service": "svc",
    "max_attempts": 3,
    "stretch": 1.6,
}


class Scene:
    """Entries, targets, their runners, and the store."""

    def __init__(self, folder: Path) -> None:
        self.record = Record(folder)
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.roles = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())["roles"]
        self.net = f"127.{77 + os.getpid() % 150}.{1 + os.getpid() // 150 % 250}"
        names = ("frontend", "ready", "control", "app", "store", "internal")
        self.ports = dict(zip(names, _free_ports(len(names)), strict=True))
        self.store = Store()
        self.entries: list[Process] = []
        self.targets: list[Process] = []
        self.runners: list[Runner] = []
        self.version = 0
        self._keys = itertools.count(1)

    def settings(self, process: Process) -> str:
        ports = self.ports
        template = (ROOT / self.roles[process.role]["template"]).read_text()
        fields = {
            "node_name": process.name,
            "zone": "hall",
            "ip": process.ip,
            "internal_ports": [ports["internal"], ports["internal"] + 15],
            "seeds": [f"{entry.ip}:{ports['control']}" for entry in self.entries[:3]],
            "app": f"{process.ip}:{ports['app']}",
            "listen": {name: process.address(name) for name in ("frontend", "ready", "control")},
            "platform": {"address": f"{self.net}.250:{ports['store']}", "ttl_min_ms": 1000},
            "limits": {"link_mbps": 1000.0},
            "bounds": BOUNDS,
        }
        return _fill(template, fields)

    def configure(self, routes: list[dict[str, Any]], services: tuple[str, ...] = ("svc",)) -> None:
        """Put the next version of the configuration; this call is its acknowledgement."""
        self.version += 3
        limits = {
            "max_header_bytes": 16384,
            "max_body_bytes": 262144,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        }
        rows = [{"name": name, "rejects_overload": True} for name in services]
        config = {"version": self.version, "routes": routes, "services": rows, "limits": limits}
        self.store.put("op/config", json.dumps(config).encode())
        names = ",".join(route["name"] for route in routes)
        self.record.write("configured", version=self.version, routes=names)

    async def open(self, entries: int, targets: int, **facts: Any) -> None:
        """Start all and wait until each entry is ready and serves."""
        if not (ROOT / "target" / "deps" / "paddleshunt_council").is_dir():
            raise CannotRunError("target/deps is missing: run the build of the deploy file first")
        await self.store.server.start(f"{self.net}.250:{self.ports['store']}")
        if not self.version:
            self.configure([ROUTE])
        for number in range(entries):
            entry = Process(self, f"entry-{number}", "entry", f"{self.net}.{1 + number}")
            self.entries.append(entry)
        for number in range(targets):
            target = Process(self, f"target-{number}", "target", f"{self.net}.{101 + number}")
            self.targets.append(target)
            runner = Runner(
                f"runner-{number}",
                target.address("app"),
                target.address("control"),
                self.record,
                **facts,
            )
            self.runners.append(runner)
            await runner.start()
        for process in (*self.entries, *self.targets):
            process.start()
        await self.until_serving()

    async def until_serving(self, seconds: float = 25.0) -> None:
        """Wait until each entry that is up has served a job; raises `CannotRunError`."""
        until = time.monotonic() + seconds
        for entry in self.entries:
            while True:
                if time.monotonic() > until:
                    raise CannotRunError(f"{entry.name} did not serve within {seconds} s")
                ready = await call(entry.address("ready"), "GET", "/paddleshunt/readiness")
                if ready.status == 200:
                    answer = await self.submit(entry, self.key(), 1, 30, 5.0)
                    if answer.status == 200 and answer.json()["state"] == "completed":
                        break
                await asyncio.sleep(0.1)
        await asyncio.sleep(1.0)

    def key(self) -> str:
        """Return a new job's id."""
        return f"{os.getpid() % 65536:04x}{next(self._keys):012x}"

    def job(self, count: int, length_ms: int, cpu: int = 1600, **step: Any) -> bytes:
        fields = {"count": count, "cpu": cpu, "mem_mb": 64, "estimated_ms": length_ms, **step}
        spec = f"{cpu} {length_ms}"
        return json.dumps({"spec": spec, "steps": [fields], "best_effort": True}).encode()

    def headers(self, deadline: float | None = None) -> dict[str, str]:
        fields = {"Host": ROUTE["host"]}
        if deadline is not None:
            fields["X-Deadline-Ms"] = str(round(deadline * 1000))
        return fields

    async def submit(
        self,
        entry: Process,
        key: str,
        count: int,
        length_ms: int,
        deadline: float,
        cpu: int = 1600,
        **step: Any,
    ) -> Answer:
        """Hand a job in and wait for its answer, as long as its deadline."""
        self.record.write("sent", method="POST", job=key, entry=entry.name, tasks=count)
        path = ROUTE["path_prefix"] + key
        body = self.job(count, length_ms, cpu, **step)
        answer = await call(
            entry.address("frontend"), "POST", path, body, self.headers(deadline), deadline
        )
        self.record.write(
            "answered", method="POST", job=key, status=answer.status, body=answer.body.decode()
        )
        return answer

    async def hand_in_others(self, number: int) -> None:
        """Hand in short jobs that nobody cancels, and wait for their answers."""
        jobs = (
            self.submit(self.entries[n % len(self.entries)], self.key(), 1, 100, 5.0)
            for n in range(number)
        )
        answers = await asyncio.gather(*jobs)
        if any(answer.status != 200 for answer in answers):
            raise CannotRunError("a short job was not served before the case began")

    async def ask(self, entry: Process, method: str, key: str) -> Answer:
        """Make a GET or a DELETE of a job."""
        self.record.write("sent", method=method, job=key, entry=entry.name)
        path = ROUTE["path_prefix"] + key
        answer = await call(entry.address("frontend"), method, path, b"", self.headers(4.0), 4.0)
        self.record.write(
            "answered", method=method, job=key, status=answer.status, body=answer.body.decode()
        )
        return answer

    def runs(self, key: str = "") -> list[Run]:
        found = [run for runner in self.runners for run in runner.runs if run.task.startswith(key)]
        return sorted(found, key=lambda run: run.began)

    def stop(self) -> None:
        """End all processes and stand-ins."""
        for process in (*self.entries, *self.targets):
            process.end()
        for runner in self.runners:
            if runner.up:
                runner.crash()
        self.store.server.stop()

    def close(self) -> None:
        """Close the record and remove the settings and logs."""
        self.record.write("closed")
        self.record.close()
        if not os.environ.get("KEEP_LOGS"):
            shutil.rmtree(self.folder, ignore_errors=True)


def _free_ports(count: int) -> list[int]:
    """Return free ports below those that the system draws for outgoing connections."""
    found: list[int] = []
    for port in random.Random(os.getpid()).sample(range(12_000, 30_000, 20), 400):
        with socket.socket() as one, suppress(OSError):
            one.bind(("127.0.0.1", port))
            found.append(port)
        if len(found) == count:
            return found
    raise CannotRunError("no free ports")


Story = Callable[[Scene, bool], Awaitable[list[str]]]


def play(story: Story, folder: Path, seconds: float = 110.0) -> None:
    """Play a story, print what broke the rule, and exit with the status that the issue names."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    scene = Scene(folder)

    async def run() -> list[str]:
        try:
            return await asyncio.wait_for(story(scene, trouble), seconds)
        finally:
            scene.stop()
            await asyncio.sleep(0.05)

    status = CANNOT_RUN
    try:
        broken = asyncio.run(run())
        for line in broken:
            scene.record.write("BROKEN", text=line)
            print(f"broken: {line}")
        status = FAILED if broken else HELD
        print("the rule was broken" if broken else "the rule held")
    except (CannotRunError, TimeoutError, OSError) as problem:
        print(f"could not run: {problem!r}")
    finally:
        scene.close()
    sys.exit(status)

"""A small real system for tests: entries, targets, a runner and stand-ins, over loopback."""

import json
import time
from collections import Counter
from collections.abc import Callable
from contextlib import ExitStack
from dataclasses import dataclass, field
from threading import Thread
from typing import Any

import urllib3
from cheroot import wsgi
from paddleshunt_core.members import Host, Role
from paddleshunt_core.table import Row
from paddleshunt_node.entryprocess import EntryProcess
from paddleshunt_node.runner import TASK_HEADER
from paddleshunt_node.targetprocess import TargetProcess
from paddleshunt_platform.etcd import EtcdStore
from paddleshunt_platform.settings import (
    EntryFile,
    Limits,
    Listen,
    Operators,
    Platform,
    Runner,
    TargetFile,
)
from paddleshunt_platform.standins.hosts import HostsStandIn
from paddleshunt_platform.standins.ports import free_port
from paddleshunt_platform.standins.store import StoreStandIn
from paddleshunt_platform.tableedit import apply_edit

PATIENCE = 30.0
SERVICE = "results"
KEY = "operators only"


def wait_for(done: Callable[[], bool]) -> None:
    """Wait until `done`, with a generous bound."""
    end = time.monotonic() + PATIENCE
    while not done():
        assert time.monotonic() < end, "waited too long"
        time.sleep(0.02)


class RunnerStandIn:
    """A runner that doubles numbers, fails on the text "fail" and counts each task it was sent.

    A task that is a list `["wait", n]` waits until `release` was called.
    """

    def __init__(self) -> None:
        self.seen: Counter[str] = Counter()
        self.released = False
        port = free_port()
        self.url = f"http://127.0.0.1:{port}/"
        self._server = wsgi.Server(("127.0.0.1", port), self._serve, numthreads=16)
        self._server.shutdown_timeout = 1
        self._server.prepare()
        self._thread = Thread(target=self._server.serve, daemon=True)
        self._thread.start()

    def release(self) -> None:
        self.released = True

    def close(self) -> None:
        self.released = True
        self._server.stop()
        self._thread.join()

    def _serve(self, environ: dict[str, Any], start_response: Any) -> list[bytes]:
        name = environ["HTTP_" + TASK_HEADER.upper().replace("-", "_")]
        self.seen[name] += 1
        task = json.loads(environ["wsgi.input"].read(int(environ["CONTENT_LENGTH"])))
        if isinstance(task, list):
            wait_for(lambda: self.released)
            task = task[1]
        status, body = "200 OK", json.dumps(task * 2 if isinstance(task, int) else task).encode()
        if task == "fail":
            status, body = "500 Broken", b"told to fail"
        start_response(status, [("Content-Length", str(len(body)))])
        return [body]


@dataclass
class System:
    """The running parts, by name."""

    store: StoreStandIn
    hosts: HostsStandIn
    runner: RunnerStandIn
    entries: dict[str, EntryProcess] = field(default_factory=dict)
    targets: dict[str, TargetProcess] = field(default_factory=dict)
    urls: dict[str, str] = field(default_factory=dict)

    @property
    def entry_urls(self) -> list[str]:
        return [self.urls[name] for name in self.entries]

    def call(self, method: str, url: str, body: object = None) -> tuple[int, Any]:
        raw = body if isinstance(body, bytes) or body is None else json.dumps(body).encode()
        response = urllib3.request(method, url, body=raw, retries=False, timeout=PATIENCE)
        return response.status, json.loads(response.data)

    def mint(self, name: str = "entry-0") -> str:
        status, body = self.call("POST", self.urls[name] + "/v1/submissions", {"service": SERVICE})
        assert status == 201, body
        return str(body["id"])

    def put(self, submission: str, tasks: list[Any], name: str = "entry-0", **more: Any) -> Any:
        body = {"service": SERVICE, "tasks": tasks, **more}
        return self.call("PUT", f"{self.urls[name]}/v1/submissions/{submission}", body)

    def ready_targets(self) -> int:
        dumps = [self.call("GET", url + "/v1/dump")[1] for url in self.entry_urls]
        return min(
            len([m for m in dump["members"] if m["load"][0] and not m["suspect"]]) for dump in dumps
        )


def start_system(stack: ExitStack, *, targets: int = 2, slots: int = 2) -> System:
    """Start a store, a host list, a runner, two entries and some targets."""
    store = stack.enter_context(StoreStandIn())
    hosts = stack.enter_context(HostsStandIn([]))
    runner = RunnerStandIn()
    stack.callback(runner.close)
    system = System(store, hosts, runner)
    platform = Platform(f"{hosts.url}/hosts", store.url)
    rows = [Row(SERVICE, "hall", 1, targets * slots, targets * (slots + 2))]
    apply_edit(EtcdStore(store.url), rows, 0, "first")
    stack.callback(_leave_all, system)
    for number in range(2):
        _start_entry(system, f"entry-{number}", platform)
    for number in range(targets):
        _start_target(system, f"target-{number}", platform, slots)
    wait_for(lambda: system.ready_targets() == targets)
    return system


def _start_entry(system: System, name: str, platform: Platform) -> None:
    listen = _listen()
    limits = Limits(max_tasks=50, max_body_bytes=64 * 1024, max_waiting=20)
    settings = EntryFile(
        name,
        "hall",
        "h1",
        listen,
        platform,
        limits=limits,
        operators=Operators(KEY),
        heartbeat_s=0.5,
    )
    system.hosts.put(Host(name, Role.ENTRY, "hall", "h1", listen.peers))
    system.entries[name] = EntryProcess(settings)
    system.urls[name] = f"http://{listen.http}"
    system.entries[name].start()


def _start_target(system: System, name: str, platform: Platform, slots: int) -> None:
    listen = _listen()
    runner = Runner(system.runner.url, slots)
    settings = TargetFile(name, "hall", "h1", SERVICE, listen, platform, runner)
    system.hosts.put(Host(name, Role.TARGET, "hall", "h1", listen.peers, SERVICE))
    system.targets[name] = TargetProcess(settings)
    system.urls[name] = f"http://{listen.http}"
    system.targets[name].start()


def _listen() -> Listen:
    return Listen(f"127.0.0.1:{free_port()}", f"127.0.0.1:{free_port()}")


def _leave_all(system: System) -> None:
    system.runner.release()
    processes = [*system.targets.values(), *system.entries.values()]
    threads = [Thread(target=process.leave, args=(10.0,)) for process in processes]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()

"""An entry and a target in one process, as they run on the platform, between stand-ins."""

import asyncio
import json
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

from paddleshunt_core.leased.bounds import Bounds
from paddleshunt_council.callers import HttpCallerCodec
from paddleshunt_council.registration import HttpRegistrationCodec
from paddleshunt_council.runner import RunnerClient
from paddleshunt_council.store import StoreClient
from paddleshunt_node.aio.entryservice import EntryConfig, EntryService
from paddleshunt_node.aio.httpclient import CallError, HttpClient, HttpResponse
from paddleshunt_node.aio.logwriter import LogWriter
from paddleshunt_node.aio.metrics import Metrics
from paddleshunt_node.aio.ports import RunnerPort
from paddleshunt_node.aio.process import ProcessContext
from paddleshunt_node.aio.targetservice import TargetConfig, TargetService
from paddleshunt_platform.standins.ports import free_port
from standins import RunnerStandIn, StoreStandIn

BOUNDS = Bounds(resend=4.0, hold_max=2.0, stop=0.2, grace=6.0)
ROUTE = {
    "name": "r",
    "host": "127.0.0.1",
    "path_prefix": "/q/",
    "service": "svc",
    "stretch": 1.6,
    "target_latency_ms": 2000,
    "max_attempts": 2,
}
CONFIG = json.dumps(
    {"version": 4, "routes": [ROUTE], "services": [{"name": "svc"}], "limits": {}}
).encode()
BEAT = json.dumps(
    {
        "service": "svc",
        "zone": "hall",
        "state": "ready",
        "capacity": {"cpu": 8000, "mem_mb": 8000, "gpu": 0},
        "sequence": 1,
    }
).encode()


class WorkingRunner(RunnerStandIn):
    """A runner whose tasks take as many milliseconds as their spec says."""

    def __init__(self) -> None:
        super().__init__()
        self.clock_from = 0.0
        """When its clock began, in steady seconds."""
        self.fence = 0
        """The highest token that this life has seen."""
        self.tasks: dict[tuple[str, int], tuple[float, float]] = {}
        self.ends = 0
        """Ends listed so far; numbers only rise, also past those that were taken note of."""
        self.started: list[str] = []
        self.stopped: list[str] = []

    def answer(
        self, path: str, asked: dict[str, object], headers: dict[str, str]
    ) -> tuple[int, object] | None:
        if headers.get("x-expected-instance", self.life) != self.life:
            return super().answer(path, asked, headers)
        now = time.monotonic()
        self.clock = int((now - self.clock_from) * 1000)
        token = int(str(asked.get("fencing_token", 0)))
        if token < self.fence:
            return 409, {"clock_ms": self.clock, "reason": "fence"}
        self.fence = token
        if path.endswith("/run-start"):
            key = (str(asked["task"]), int(str(asked["run"])))
            self.tasks[key] = (now, int(str(asked["spec"])) / 1000)
            self.started.append(key[0])
        elif path.endswith("/run-stop"):
            self._end((str(asked["task"]), int(str(asked["run"]))), "stopped")
            self.stopped.append(str(asked["task"]))
        for key, (began, length) in list(self.tasks.items()):
            if began + length <= now:
                self._end(key, "done")
        seen = int(str(asked.get("last_seen", 0)))
        self.finished = [row for row in self.finished if int(str(row[0])) > seen]
        self.running = [
            [task, run, "", int(100 * (now - began) / length), 0]
            for (task, run), (began, length) in self.tasks.items()
        ]
        return super().answer(path, asked, headers)

    def come_back(self, born: int | None) -> None:
        """Crash, and start again under the same id: nothing of before is known any more."""
        self.born = born
        self.clock_from = time.monotonic()
        self.fence = self.ends = 0
        self.tasks.clear()
        self.finished = []

    def _end(self, key: tuple[str, int], how: str) -> None:
        if self.tasks.pop(key, None) is not None:
            self.ends += 1
            self.finished.append([self.ends, key[0], key[1], how, ""])


class System:
    """One entry, one target, their runner and store.

    `port` puts something between the target and its runner's client.
    """

    def __init__(
        self, bounds: Bounds = BOUNDS, port: Callable[[RunnerPort], RunnerPort] = lambda it: it
    ) -> None:
        self.bounds = bounds
        self.port = port
        self.store = StoreStandIn()
        self.runner = WorkingRunner()
        self.peers = f"127.0.0.1:{free_port()}"
        self.seeds: tuple[str, ...] = (self.peers,)
        """What the target's settings name."""
        self.callers = f"127.0.0.1:{free_port()}"
        self.ready = f"127.0.0.1:{free_port()}"
        self.registration = f"127.0.0.1:{free_port()}"
        self.entry_around = ProcessContext(LogWriter("info"), Metrics())
        self.target_around = ProcessContext(LogWriter("info"), Metrics())

    async def start(self) -> None:
        await self.store.start()
        await self.runner.start()
        self.entry = EntryService(
            EntryConfig(
                "e1", "hall", self.callers, self.ready, self.peers, self._free(), (), self.bounds
            ),
            HttpCallerCodec(self.entry_around.refuse),
            StoreClient(self.store.address, 1000, self.entry_around.refuse),
            self.entry_around,
        )
        self.target = TargetService(
            TargetConfig(
                "t1",
                "hall",
                "127.0.0.1:1",
                self.registration,
                self._free(),
                self.seeds,
                self.bounds,
            ),
            HttpRegistrationCodec(self.target_around.refuse),
            self.port(RunnerClient(self.runner.address, self.target_around.refuse)),
            StoreClient(self.store.address, 1000, self.target_around.refuse),
            self.target_around,
        )
        self.entry_run = asyncio.ensure_future(self.entry.run())
        self.target_run = asyncio.ensure_future(self.target.run())

    async def open(self) -> None:
        """Configure, register the runner, and wait until the entry is ready."""
        self.store.put("op/config", CONFIG)
        await until(self.beat)
        await until(self.is_ready)

    def check_runs(self) -> None:
        """Raise what has ended a process that should be running."""
        for run in (self.entry_run, self.target_run):
            if run.done():
                run.result()

    async def beat(self) -> bool:
        self.check_runs()
        path = "/paddleshunt/Instances.Heartbeat/i-1"
        return (await call(self.registration, "POST", path, BEAT)).status == 200

    async def is_ready(self) -> bool:
        self.check_runs()
        return (await call(self.ready, "GET", "/paddleshunt/readiness")).status == 200

    async def submit(self, key: str, milliseconds: int, *, wait: float = 10.0) -> HttpResponse:
        step = {"count": 3, "cpu": 1000, "mem_mb": 10, "estimated_ms": milliseconds}
        job = {"spec": str(milliseconds), "steps": [step], "best_effort": True}
        return await HttpClient(self.callers).call(
            "POST",
            f"/q/{key}",
            wait,
            json.dumps(job).encode(),
            (("X-Deadline-Ms", "9000"),),
        )

    def _free(self) -> str:
        return f"127.0.0.1:{free_port()}"

    async def end(self) -> None:
        for around in (self.entry_around, self.target_around):
            around.cancel()
        for run in (self.entry_run, self.target_run):
            run.cancel()
        await asyncio.gather(self.entry_run, self.target_run, return_exceptions=True)


async def call(address: str, method: str, path: str, body: bytes = b"") -> HttpResponse:
    return await HttpClient(address).call(method, path, 5.0, body)


async def until(condition: Callable[[], Awaitable[bool]]) -> None:
    while True:
        try:
            if await condition():
                return
        except CallError:
            pass
        await asyncio.sleep(0.05)


async def until_true(condition: Callable[[], bool]) -> None:
    while not condition():
        await asyncio.sleep(0.02)


@asynccontextmanager
async def running(system: System) -> AsyncIterator[System]:
    await system.start()
    try:
        yield system
    finally:
        await system.end()


def play(scene: Callable[[System], Awaitable[None]], system: System | None = None) -> None:
    """Run a scene on a system of its own."""

    async def run() -> None:
        async with running(system or System()) as started:
            await scene(started)

    asyncio.run(asyncio.wait_for(run(), 60))

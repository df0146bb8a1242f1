"""A deployment of the real programs as processes on loopback, among stand-ins of the platform.

Each entry and target has an address of its own in 127/8, as hosts have, and a log file. A process
is signalled by the id under which it was started here, and by nothing else.
"""

import asyncio
import contextlib
import json
import os
import signal
import subprocess
import sys
import time
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from random import Random

from paddleshunt_council.starting import SETTINGS_VARIABLE
from paddleshunt_council.store import CONFIG_KEY, EVACUATE_PREFIX
from paddleshunt_node.aio.httpclient import CallError, HttpClient, HttpResponse
from paddleshunt_platform.standins.ports import free_port
from record import Record
from soakconfig import MOST_ENTRIES, configuration
from soakrunner import SoakRunner
from soakstore import SoakStore

ROOT = Path(__file__).parents[2]


def sources(checkout: Path) -> list[Path]:
    """Return the folders from which the programs of a checkout are imported."""
    return [checkout / "platform", *sorted(checkout.glob("packages/*/src"))]


SOURCES = sources(ROOT)
"""Where the programs are taken from: this checkout, whatever is installed."""


HALLS = ("hall", "annex")
"""Where targets stand, in turn; entries stand in the first."""

ASK_SECONDS = 0.3
"""Seconds between two questions to an entry's page."""

RESTART_SECONDS = 0.3
"""Seconds after which the platform starts a process again that has ended by itself."""

EXPECTED_ENDS = (-signal.SIGHUP, 2)
"""SIGHUP before the interpreter runs the program's first line, and settings that are broken."""

MOVE_STEP = 4
"""By how much the last number of an entry's address rises as it moves."""


@dataclass(frozen=True)
class SoakBounds:
    """Bounds of the deployment, in milliseconds but for `grace_s`."""

    resend_ms: int = 1300
    hold_max_ms: int = 1000
    stop_ms: int = 50
    grace_s: float = 6.0


@dataclass
class Process:
    """One process of the deployment, and how to start it again."""

    name: str
    role: str
    address: str
    log: Path
    settings: Path
    popen: subprocess.Popen[bytes] | None = None
    paused: bool = False
    moves: int = 0
    """How often it has been given another address."""
    awaited: int = 0
    """How many faults wait for its end, and start it again."""
    on_start: Callable[[], None] = field(default=lambda: None)
    """Called at each start."""
    sources: list[Path] = field(default_factory=lambda: SOURCES)
    """Folders from which its program is imported."""

    @property
    def up(self) -> bool:
        """Whether it runs, paused or not."""
        return self.popen is not None and self.popen.poll() is None

    def start(self) -> None:
        """Start the program."""
        variables = {**os.environ, SETTINGS_VARIABLE: str(self.settings)}
        variables["PYTHONPATH"] = os.pathsep.join(map(str, self.sources))
        command = [sys.executable, "-m", "paddleshunt_council", self.role]
        with self.log.open("ab") as log:
            self.popen = subprocess.Popen(command, env=variables, stdout=log, stderr=log)
        self.paused = False
        self.on_start()

    def send(self, number: signal.Signals) -> None:
        """Send a signal, if it runs."""
        if self.popen is not None and self.up:
            self.popen.send_signal(number)
            if number in (signal.SIGSTOP, signal.SIGCONT):
                self.paused = number is signal.SIGSTOP

    def catches(self, number: signal.Signals) -> bool:
        """Whether it has a handler for a signal."""
        assert self.popen is not None
        status = Path(f"/proc/{self.popen.pid}/status").read_text()
        mask = next(line for line in status.splitlines() if line.startswith("SigCgt:"))
        return bool(int(mask.split()[1], 16) >> (number - 1) & 1)

    def end(self) -> None:
        """Kill it and wait for its end."""
        if self.popen is not None:
            self.popen.kill()
            self.popen.wait()


@dataclass
class Deployment:
    """All processes and stand-ins of one soak."""

    folder: Path
    record: Record
    rng: Random
    bounds: SoakBounds = SoakBounds()
    lengths: dict[str, float] = field(default_factory=dict)
    crashing: dict[str, float] = field(default_factory=dict)
    """Tasks that take their runner down, and after how many seconds of work."""
    store: SoakStore = field(default_factory=SoakStore)
    processes: dict[str, Process] = field(default_factory=dict)
    runners: dict[str, SoakRunner] = field(default_factory=dict)
    version: int = 0
    evacuated: set[str] = field(default_factory=set)
    returns: bool = False
    """Whether runners start again under the id that they had; each third tells no start."""
    builds: dict[str, list[Path]] = field(default_factory=dict)
    """Folders from which the programs of single processes are imported; `SOURCES` for others."""

    def __post_init__(self) -> None:
        self.net = f"127.{self.rng.randrange(1, 250)}.{os.getpid() % 250}"
        names = ("callers", "ready", "peers", "metrics", "registration", "runner", "store")
        self.ports = {name: free_port() for name in names}

    @property
    def entries(self) -> list[Process]:
        """The entries."""
        return [p for p in self.processes.values() if p.role == "entry"]

    @property
    def targets(self) -> list[Process]:
        """The targets."""
        return [p for p in self.processes.values() if p.role == "target"]

    async def open(self, entries: int, targets: int, *, guards: bool = True) -> None:
        """Start all and wait until each entry is ready and each target in session."""
        self._loop_tasks = [asyncio.ensure_future(self.store.run())]
        self.configure()
        for number in range(entries):
            await self.add(f"e{number}", "entry", number + 1)
        for number in range(targets):
            name = f"t{number}"
            self.record.halls[name] = HALLS[number % len(HALLS)]
            await self.add(name, "target", 100 + number)
            runner = self.runners[name] = SoakRunner(
                name,
                (self.processes[name].address, self.ports["runner"]),
                f"{self.processes[name].address}:{self.ports['registration']}",
                self.record,
                self.lengths,
                self.rng,
                hold_max=self.bounds.hold_max_ms / 1000,
                stop=self.bounds.stop_ms / 1000,
                guards=guards,
                hall=HALLS[number % len(HALLS)],
                crashing=self.crashing,
                returns=self.returns,
                tells_start=number % 3 != 2,
            )
            await runner.start()
            self._loop_tasks.append(asyncio.ensure_future(runner.run()))
        for process in self.processes.values():
            process.start()
        self._loop_tasks.append(asyncio.ensure_future(self._supervise()))
        await self.until_steady()

    async def until_steady(self, seconds: float = 40.0) -> None:
        """Wait until all that runs is at work together; raises `TimeoutError`."""
        async with asyncio.timeout(seconds):
            for entry in self.entries:
                while not await self._has_targets(entry):
                    await asyncio.sleep(0.1)

    def configure(self) -> int:
        """Put the next version of the configuration into the store, and return it."""
        self.version += 1 + self.rng.randrange(3)
        self.store.put(CONFIG_KEY, configuration(self.version, self.net))
        return self.version

    def evacuate(self, hall: str) -> bool:
        """Evacuate a hall, unless it is; return whether it was not."""
        if hall in self.evacuated:
            return False
        self.evacuated.add(hall)
        self.store.put(EVACUATE_PREFIX + hall, b"{}")
        self.record.evacuated(hall, time.monotonic())
        return True

    def take_back(self, hall: str) -> None:
        """End the evacuation of a hall."""
        self.evacuated.discard(hall)
        self.record.taken_back(hall)
        self.store.remove(EVACUATE_PREFIX + hall)

    async def close(self) -> None:
        """End all processes and stand-ins."""
        for process in self.processes.values():
            process.end()
        for task in self._loop_tasks:
            task.cancel()
        await asyncio.gather(*self._loop_tasks, return_exceptions=True)

    async def dump(self, process: Process) -> dict[str, object] | None:
        """Return a process's dump of its state, or None."""
        try:
            answer = await self.get(process, "metrics", "/dump")
        except CallError:
            return None
        dump: dict[str, object] = json.loads(answer.body)
        return dump

    async def get(self, process: Process, port: str, path: str) -> HttpResponse:
        """Ask a process's page; raises `CallError`."""
        client = HttpClient(f"{process.address}:{self.ports[port]}")
        return await client.call("GET", path, 1.0)

    async def move(self, process: Process) -> None:
        """Give an entry that is down another address."""
        process.moves += 1
        if process.moves * MOVE_STEP + len(self.entries) >= MOST_ENTRIES:
            return
        net, _, number = process.address.rpartition(".")
        process.address = f"{net}.{int(number) + MOVE_STEP}"
        await self.store.listen(process.name, (process.address, self.ports["store"]))
        for other in self.processes.values():
            self.write_settings(other)

    def write_settings(self, process: Process, *, extra: str = "") -> None:
        """Write a process's settings file; `extra` is put at its end."""
        at = process.address
        ports = self.ports
        seeds = [f"{p.address}:{ports['peers']}" for p in self.entries[:3]]
        lines = [
            "[process]",
            f'name = "{process.name}"',
            f'hall = "{self._hall(process)}"',
            f'role = "{process.role}"',
            "[listen]",
            f'peers = "{at}:{ports["peers"]}"',
            f'metrics = "{at}:{ports["metrics"]}"',
        ]
        if process.role == "entry":
            lines.append(f'callers = "{at}:{ports["callers"]}"')
            lines.append(f'ready = "{at}:{ports["ready"]}"')
        else:
            lines.append(f'runner = "{at}:{ports["registration"]}"')
            lines += ["[runner]", f'address = "{at}:{ports["runner"]}"']
        lines += [
            "[peers]",
            f"seeds = {json.dumps(seeds)}",
            f"port = {ports['peers']}",
            "[store]",
            f'address = "{at}:{ports["store"]}"',
            "[bounds]",
            f"resend_ms = {self.bounds.resend_ms}",
            f"hold_max_ms = {self.bounds.hold_max_ms}",
            f"stop_ms = {self.bounds.stop_ms}",
            f"grace_s = {self.bounds.grace_s}",
            extra,
        ]
        process.settings.write_text("\n".join(lines) + "\n")

    def _hall(self, process: Process) -> str:
        return self.record.halls.get(process.name, HALLS[0])

    async def watch_versions(self) -> None:
        """Note the configuration in force at each entry again and again, until cancelled."""
        while True:
            for entry in self.entries:
                dump = await self.dump(entry) if entry.up and not entry.paused else None
                if dump is not None:
                    life, version = str(dump["life"]), int(str(dump["catalog_version"]))
                    self.record.version_seen(entry.name, life, version)
            await asyncio.sleep(ASK_SECONDS)

    async def until_configured(self, seconds: float) -> None:
        """Wait until all follow the operator's last word; raises `TimeoutError`."""
        async with asyncio.timeout(seconds):
            for process in self.processes.values():
                while not self._is_up_to_date(process, await self.dump(process)):
                    await asyncio.sleep(ASK_SECONDS)

    def _is_up_to_date(self, process: Process, dump: dict[str, object] | None) -> bool:
        if dump is None or dump["evacuated_halls"] != sorted(self.evacuated):
            return False
        return process.role == "target" or dump["catalog_version"] == self.version

    async def _supervise(self) -> None:
        """Start what has ended by itself again, as the platform does, until cancelled."""
        while True:
            await asyncio.sleep(RESTART_SECONDS)
            for process in self.processes.values():
                if process.popen is None or process.awaited or process.up:
                    continue
                code = process.popen.returncode
                if code not in EXPECTED_ENDS:
                    self.record.ended(process.name, code)
                process.start()

    async def add(self, name: str, role: str, number: int) -> Process:
        """Prepare a process, not started yet."""
        process = Process(
            name,
            role,
            f"{self.net}.{number}",
            self.folder / f"{name}.log",
            self.folder / f"{name}.toml",
            sources=self.builds.get(name, SOURCES),
        )
        self.processes[name] = process
        process.on_start = partial(self.record.serves_again, name)
        self.write_settings(process)
        await self.store.listen(name, (process.address, self.ports["store"]))
        return process

    async def _has_targets(self, entry: Process) -> bool:
        dump = await self.dump(entry)
        if dump is None or not dump["catalog_version"]:
            return False
        targets = dump["targets"]
        assert isinstance(targets, dict)
        met = [t for t in targets.values() if t["session"] and t["report"]]
        return len(met) >= len(self.targets)


@contextlib.asynccontextmanager
async def deployed(
    deployment: Deployment, entries: int, targets: int, *, guards: bool = True
) -> AsyncIterator[Deployment]:
    """Run a deployment for a while."""
    try:
        await deployment.open(entries, targets, guards=guards)
        yield deployment
    finally:
        await deployment.close()

"""A small deployment on loopback for the review: the real programs, and strict stand-ins.

The programs are started with the `run` lines of deploy/system.toml, and their settings are filled
from the templates. The store is the project's own stand-in; callers and runners are written here
from PROTOCOL.md. Everything that is sent, answered and run goes to `record.txt`.
"""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
for _folder in ("target/deps", "platform", "testing", "testing/council"):
    sys.path.insert(0, str(ROOT / _folder))

from soakstore import SoakStore  # noqa: E402
from templates import filled  # noqa: E402

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
RESEND_S, HOLD_MAX_MS, STOP_S, BEAT_S = 1.3, 1000, 0.05, 1.5
"""Of the small sites: `resend_ms`, `hold_max_ms`, `stop_timeout_ms`, `heartbeat_ms`."""

METRICS_PORT = 9464
"""The port of the operators' pages in the templates of the settings."""

HOST, PREFIX, SERVICE = "jobs.example", "/q/", "svc"
RUN_LINES = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())["roles"]


class CouldNotRun(Exception):
    """The case did not reach the point that it is about."""


class World:
    """All processes and stand-ins of one case."""

    def __init__(self, folder):
        self.folder = Path(folder)
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.began = time.monotonic()
        self.lines = []
        self.runs = []
        self.jobs = {}
        """By key: `cpu`, `length` and `label` of each task, and how each try was answered."""
        self.temp = Path(tempfile.mkdtemp(prefix="review-"))
        self.net = f"127.{random.randrange(20, 250)}.{os.getpid() % 250}"
        names = ("callers", "ready", "peers", "registration", "runner", "store", "proxy")
        self.ports = dict(zip(names, free_ports(f"{self.net}.1", len(names)), strict=True))
        self.store = SoakStore()
        self.processes = {}
        self.addresses = {}
        self.runners = {}
        self.tasks = set()

    # Record.

    def now(self):
        return time.monotonic() - self.began

    def log(self, who, text, at=None):
        self.lines.append((self.now() if at is None else at, who, text))

    def write_record(self, verdict):
        with (self.folder / "record.txt").open("w") as file:
            file.write(f"trouble: {'yes' if self.trouble else 'no'}\n{verdict}\n\n")
            for at, who, text in sorted(self.lines, key=lambda line: line[0]):
                file.write(f"{at:9.4f} {who:10} {text}\n")

    # Processes.

    def spawn(self, work):
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def open(self, entries, targets, routes=None):
        """Start all; `targets` gives the labels and processor of each runner."""
        self.spawn(self.store.run())
        route = {"name": "r", "host": HOST, "path_prefix": PREFIX, "kind": "non_idempotent",
                 "timeout_ms": 1500, "service": SERVICE, "priority": 0, "max_attempts": 4,
                 "stretch": 1.6, "target_latency_ms": 60}
        service = {"name": SERVICE, "health_path": "/health", "max_connections": 64,
                   "rejects_overload": True}
        limits = {"max_header_bytes": 16384, "max_body_bytes": 262144,
                  "header_timeout_ms": 3000, "idle_timeout_ms": 15000}
        config = {"version": 3, "routes": routes or [route], "services": [service],
                  "limits": limits}
        self.store.put("op/config", json.dumps(config).encode())
        for number in range(entries):
            self.addresses[f"e{number}"] = f"{self.net}.{1 + number}"
        for number in range(len(targets)):
            self.addresses[f"t{number}"] = f"{self.net}.{100 + number}"
        self.seeds = [f"{self.net}.{1 + n}:{self.ports['peers']}" for n in range(min(3, entries))]
        for name, address in self.addresses.items():
            await self.store.listen(name, (address, self.ports["store"]))
        for number, runner in enumerate(targets):
            name = f"t{number}"
            self.runners[name] = Runner(self, name, self.addresses[name], **runner)
            await self.runners[name].start()
        for name in self.addresses:
            self.start(name)
        await self.until_ready(len(targets))

    def start(self, name):
        role = "entry" if name.startswith("e") else "target"
        address, port = self.addresses[name], self.ports
        settings = self.temp / f"{name}.toml"
        settings.write_text(filled(role, **{
            "node_name": name, "zone": "hall", "ip": address, "seeds": self.seeds,
            "internal_ports.0": port["peers"],
            "app": f"{address}:{port['runner']}",
            "listen.frontend": f"{address}:{port['callers']}",
            "listen.ready": f"{address}:{port['ready']}",
            "listen.control": f"{address}:{port['registration']}",
            "platform.address": f"{address}:{port['store']}",
            "limits.link_mbps": 1000.0,
            "bounds.cold_overrun": None,
        }))
        keep = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        with (self.temp / f"{name}.log").open("ab") as log:
            self.processes[name] = subprocess.Popen(
                [*RUN_LINES[role]["run"].split(), "--settings", str(settings)], cwd=ROOT,
                env={**keep, "PYTHONPATH": str(ROOT / "target" / "deps")}, stdout=log, stderr=log,
            )
        self.log("platform", f"starts {name}")

    def signal(self, name, number):
        self.processes[name].send_signal(number)
        self.log("platform", f"{signal.Signals(number).name} to {name}")

    async def until_ready(self, targets):
        """Wait until each entry is ready and has sessions with all targets."""
        until = self.now() + 30
        for name in [n for n in self.addresses if n.startswith("e")]:
            while True:
                if self.now() > until:
                    raise CouldNotRun(f"{name} is not ready after 30 s")
                status = await ask(self.addresses[name], self.ports["ready"], "GET",
                                   "/paddleshunt/readiness")
                if status == 200 and await self._sessions(name) >= targets:
                    break
                await asyncio.sleep(0.1)

    async def _sessions(self, name):
        try:
            reader, writer = await asyncio.open_connection(self.addresses[name], METRICS_PORT)
        except OSError:
            return 0
        writer.write(b"GET /dump HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
        raw = await reader.read()
        writer.close()
        targets = json.loads(raw.partition(b"\r\n\r\n")[2])["targets"]
        return sum(bool(t["session"] and t["report"]) for t in targets.values())

    async def close(self):
        for process in self.processes.values():
            process.kill()
            process.wait()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        if os.environ.get("KEEP_LOGS"):
            shutil.copytree(self.temp, os.environ["KEEP_LOGS"], dirs_exist_ok=True)
        shutil.rmtree(self.temp, ignore_errors=True)

    # Callers.

    def submit(self, entry, length, *, count=1, cpu=1000, deadline=10.0, label="", spec="",
               resend_to=()):
        """Hand a job in; it comes in again at `resend_to`, as PROTOCOL.md says. Return its key."""
        key = f"{random.getrandbits(64):016x}"
        self.jobs[key] = {"cpu": cpu, "length": length, "label": label, "answers": [],
                          "spec": spec or f"spec of {key}"}
        job = self.spawn(self._call(key, [entry, *resend_to], count, deadline))
        self.jobs[key]["call"] = job
        return key

    async def _call(self, key, entries, count, deadline):
        job = self.jobs[key]
        step = {"count": count, "cpu": job["cpu"], "mem_mb": 64,
                "estimated_ms": round(job["length"] * 1000)}
        if job["label"]:
            step["requirements"] = job["label"]
        body = json.dumps({"spec": job["spec"], "steps": [step], "best_effort": True}).encode()
        for number, entry in enumerate(entries):
            if number:
                await asyncio.sleep(RESEND_S)
            self.log("caller", f"POST {key} to {entry} {json.dumps(step)}")
            answer = await ask(self.addresses[entry], self.ports["callers"], "POST", PREFIX + key,
                               body, (("Host", HOST), ("X-Deadline-Ms", round(deadline * 1000))),
                               deadline)
            job["answers"].append(answer)
            self.log("caller", f"{key} at {entry}: {answer}")
            if answer not in ("silence", "broken", 502, 504):
                return

    # Rules.

    def twice(self):
        """Return the pairs of runs of one task that were at work at once on runners that are up."""
        found = []
        for number, one in enumerate(self.runs):
            for other in self.runs[:number]:
                if one["task"] != other["task"]:
                    continue
                begin = max(one["began"], other["began"])
                end = min(r["end"] if r["end"] is not None else self.now() for r in (one, other))
                if end > begin:
                    found.append((end - begin, begin, other, one))
        return found

    def describe(self, run):
        end = "still at work" if run["end"] is None else f"{run['how']} {run['end']:.4f}"
        return f"run {run['number']} at {run['runner']} from {run['began']:.4f} to {end}"


class Runner:
    """A runner by PROTOCOL.md, "Running tasks": one life at a time, at one address."""

    def __init__(self, world, name, address, *, labels=("a", "r1"), cpu=16000, rate=1.0):
        self.world, self.name, self.address = world, name, address
        self.cpu, self.rate = cpu, rate
        self.lives = 0
        self.control = (address, world.ports["registration"])
        """Where it registers."""
        self.stop_takes = STOP_S * 0.8
        self.leaves_unanswered = lambda kind, asked: False
        """Which orders get no answer, and are carried out some seconds later."""
        self.beating = None
        self.idle_s = None
        """After how many seconds it closes a connection without a call; None for never."""
        self.live(labels)

    def live(self, labels):
        """Begin a life: a new id, nothing runs, no fencing token was seen."""
        self.lives += 1
        self.id = f"i-{self.name}-{random.getrandbits(32):08x}"
        self.labels = list(labels)
        self.up = True
        self.state = "ready"
        self.sequence = 0
        self.clock_from, self.clock_base = time.monotonic(), random.randrange(10_000, 900_000)
        self.fence = self.deadline_ms = self.ends = 0
        self.running, self.highest, self.finished = {}, {}, []
        self.changed = asyncio.Event()
        self.world.log(self.name, f"runner {self.id} lives, labels {self.labels}")

    async def start(self):
        server = await asyncio.start_server(
            self._serve, self.address, self.world.ports["runner"], backlog=100)
        self.server = server
        self.world.spawn(self._tick())
        self.beating = self.world.spawn(self._beat_forever())

    def end_life(self, how):
        """End with all that runs; connections of this life say nothing more."""
        self.step()
        for run in list(self.running.values()):
            self._end(run, how, self.world.now())
        self.up = False
        self.world.log(self.name, f"runner {self.id} ends: {how}")

    # Registration.

    async def beat(self):
        self.sequence += 1
        body = {"service": SERVICE, "address": f"{self.address}:{self.world.ports['runner']}",
                "zone": "hall", "version": "v1", "slots": 8, "state": self.state,
                "cold_remaining_ms": 0,
                "capacity": {"cpu": self.cpu, "mem_mb": 32768, "gpu": 0}, "labels": self.labels,
                "clock_ms": self.clock_ms(), "sequence": self.sequence}
        if self.state == "draining":
            body["remaining_ms"] = 0
        answer = await ask(*self.control, "POST", f"/paddleshunt/Instances.Heartbeat/{self.id}",
                           json.dumps(body).encode(), timeout=1.0)
        self.world.log(self.name, f"heartbeat {self.id} {self.state} #{self.sequence}: {answer}")
        return answer == 200

    async def _beat_forever(self):
        while True:
            done = await self.beat() if self.up else True
            await asyncio.sleep(BEAT_S if done else 0.2)

    # Time.

    def clock_ms(self, at=None):
        """Return its own steady clock; `at` is a time of the record."""
        steady = time.monotonic() if at is None else at + self.world.began
        return int((steady - self.clock_from) * 1000 * self.rate) + self.clock_base

    def lease_end(self):
        """Return the end of its lease as a time of the record."""
        left = (self.deadline_ms - self.clock_base) / 1000 / self.rate
        return self.clock_from + left - self.world.began

    async def _tick(self):
        while True:
            self.step()
            await asyncio.sleep(0.002)

    def step(self):
        """End what is due: at its time, or when the lease is over."""
        now = self.world.now()
        for run in list(self.running.values()):
            lease_end = self.lease_end()
            end = min(run["due"], lease_end)
            if end <= now:
                how = "lapsed" if lease_end < run["due"] else run["way"]
                self._end(run, how, end)

    def _end(self, run, how, at):
        run["end"], run["how"] = at, how
        del self.running[run["task"]]
        self.highest[run["task"]] = max(self.highest.get(run["task"], 0), run["number"])
        self.ends += 1
        self.finished.append([self.ends, run["task"], run["number"], how, ""])
        self.world.log(self.name, f"run {run['task']} #{run['number']} ends: {how}", at)
        self.changed.set()
        self.changed = asyncio.Event()

    # Calls of its target.

    async def _serve(self, reader, writer):
        life = self.lives
        try:
            while True:
                request = await self._next_request(reader, life)
                if request is None:
                    break
                if not self.up or life != self.lives:
                    await asyncio.sleep(3600)
                answer = await self._handle(request)
                if answer is None:
                    await asyncio.sleep(3600)
                if not self.up or life != self.lives:
                    await asyncio.sleep(3600)
                status, body = answer
                raw = json.dumps({"clock_ms": self.clock_ms(), **body}).encode()
                writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                             b"Content-Length: %d\r\n\r\n" % (status, len(raw)) + raw)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _next_request(self, reader, life):
        """Return the next request; None at the end, or if none comes for too long."""
        try:
            return await read_request(reader, self.idle_s)
        except TimeoutError:
            if self.up and life == self.lives:
                return None
            await asyncio.sleep(3600)

    async def _handle(self, request):
        method, path, headers, raw = request
        self.step()
        expected = headers.get("x-expected-instance", self.id)
        kind = path.rpartition("/")[2]
        asked = json.loads(raw)
        if expected != self.id:
            self.world.log(self.name, f"{kind} for {expected}: 421")
            return 421, {}
        if self.leaves_unanswered(kind, asked):
            self.world.log(self.name, f"{kind} {json.dumps(asked)}: unanswered")
            self.world.spawn(self._carry_out_late(self.lives, kind, asked))
            return None
        if kind == "hold":
            return await self._hold(asked)
        return self._order(kind, asked)

    async def _carry_out_late(self, life, kind, asked):
        await asyncio.sleep(random.uniform(2.0, 12.0))
        if self.up and life == self.lives and kind != "hold":
            self.step()
            self._order(kind, asked, "carried out late: ")

    def _order(self, kind, asked, note=""):
        if asked["fencing_token"] < self.fence:
            answer = 409, {"reason": "fence"}
        else:
            self.fence = asked["fencing_token"]
            answer = self._stop(asked) if kind == "run-stop" else self._start(asked)
        self.world.log(self.name, f"{note}{kind} {json.dumps(asked)}: {answer}")
        return answer

    def _prolong(self, deadline_ms):
        longest = self.clock_ms() + HOLD_MAX_MS
        self.deadline_ms = max(self.deadline_ms, min(deadline_ms, longest))

    def _start(self, asked):
        task, number = asked["task"], asked["run"]
        if asked["deadline_ms"] <= self.clock_ms():
            return 409, {"reason": "late"}
        self._prolong(asked["deadline_ms"])
        known = self.running.get(task)
        if known is not None and known["number"] == number:
            return 200, {}
        if number <= self.highest.get(task, 0) or known is not None:
            return 409, {"reason": "old"}
        job = self.world.jobs[task.partition(".")[0]]
        used = sum(self.world.jobs[t.partition(".")[0]]["cpu"] for t in self.running)
        if used + job["cpu"] > self.cpu:
            return 409, {"reason": "room"}
        now = self.world.now()
        run = {"task": task, "number": number, "runner": self.id, "began": now, "end": None,
               "due": now + job["length"], "way": "done", "how": "", "length": job["length"],
               "labels": list(self.labels), "target": self.name}
        self.running[task] = run
        self.world.runs.append(run)
        return 200, {}

    def _stop(self, asked):
        task, number = asked["task"], asked["run"]
        self.highest[task] = max(self.highest.get(task, 0), number)
        run = self.running.get(task)
        if run is not None and run["number"] == number and run["way"] != "stopped":
            run["way"], run["due"] = "stopped", min(run["due"], self.world.now() + self.stop_takes)
        return 200, {}

    async def _hold(self, asked):
        if asked["fencing_token"] < self.fence:
            self.world.log(self.name, f"hold {json.dumps(asked)}: 409 fence")
            return 409, {"reason": "fence"}
        self.fence = asked["fencing_token"]
        if "deadline_ms" in asked:
            self._prolong(asked["deadline_ms"])
        self.finished = [row for row in self.finished if row[0] > asked["last_seen"]]
        wait = min(2000, asked.get("wait_ms", 0)) / 1000
        if wait and not self.finished:
            try:
                await asyncio.wait_for(self.changed.wait(), wait)
            except TimeoutError:
                pass
        self.step()
        running = [[r["task"], r["number"], "", self._percent(r), 0]
                   for r in self.running.values()]
        until = asked.get("deadline_ms", 0)
        if running or self.finished:
            self.world.log(self.name, f"hold until {until - self.clock_ms() if until else '-'} ms "
                           f"from now, seen {asked['last_seen']}: running "
                           f"{[r[:2] for r in running]} finished {self.finished}")
        return 200, {"running": running, "finished": self.finished[:500]}

    def _percent(self, run):
        return min(99, int(100 * (self.world.now() - run["began"]) / run["length"]))


def free_ports(address, count):
    """Return ports that nothing listens on at `address`."""
    sockets = [socket.socket() for _ in range(count)]
    for each in sockets:
        each.bind((address, 0))
    ports = [each.getsockname()[1] for each in sockets]
    for each in sockets:
        each.close()
    return ports


async def read_request(reader, patience=None):
    """Return the method, path, headers and body of the next request; None at the end.

    Raises `TimeoutError` if its head isn't there within `patience` seconds.
    """
    head = b""
    if not reader.at_eof():
        head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), patience)
    if not head:
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    method, path, _ = first.split(" ")
    headers = {k.lower(): v.strip() for k, _, v in (line.partition(":") for line in lines if line)}
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return method, path, headers, body


async def ask(host, port, method, path, body=b"", headers=(), timeout=2.0):
    """Call once on a connection of its own; return the status, or `silence` or `broken`.

    A job's 200 is returned as its state.
    """
    given = dict(headers)
    lines = [f"{method} {path} HTTP/1.1", f"Host: {given.pop('Host', host)}",
             f"Content-Length: {len(body)}", "Content-Type: application/json",
             *(f"{name}: {value}" for name, value in given.items())]
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(host, port)
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            status = int(head.split(" ")[1])
            length = next((int(line.partition(":")[2]) for line in head.split("\r\n")
                           if line.lower().startswith("content-length:")), 0)
            raw = await reader.readexactly(length)
            if status == 200 and raw and "state" in (told := json.loads(raw)):
                return told["state"]
            return status
    except TimeoutError:
        return "silence"
    except (OSError, asyncio.IncompleteReadError):
        return "broken"
    finally:
        if writer is not None:
            writer.close()


def report_problem(loop, context):
    """Print an error in a stand-in; tasks that are cancelled at the end are none."""
    problem = context.get("exception")
    if not isinstance(problem, (asyncio.CancelledError, ConnectionError, type(None))):
        loop.default_exception_handler(context)


def main(folder, scene, seconds=100):
    """Play a scene; it returns the sentence about the broken rule, or None if it held."""
    async def run():
        asyncio.get_running_loop().set_exception_handler(report_problem)
        world = World(folder)
        status, verdict = COULD_NOT_RUN, "could not run"
        try:
            async with asyncio.timeout(seconds):
                broken = await scene(world)
            status, verdict = (HELD, "the rule held") if broken is None else (BROKEN, broken)
        except (CouldNotRun, TimeoutError, OSError) as problem:
            verdict = f"could not run: {type(problem).__name__}: {problem}"
        finally:
            await world.close()
            world.write_record(verdict)
        print(verdict)
        return status

    if not (ROOT / "target" / "deps" / "paddleshunt_council").exists():
        print("could not run: build first, with sh deploy/build.sh")
        sys.exit(COULD_NOT_RUN)
    sys.exit(asyncio.run(run()))

"""A stand-in of the platform's runner, by its published protocol, with faults that a soak sets.

It keeps leases by its own clock, which may be slow, runs what fits, and lists ends until they are
seen.
"""

import asyncio
import json
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from random import Random
from time import monotonic, time
from typing import Any

import soakwords
from paddleshunt_node.aio.httpclient import CallError, HttpClient
from paddleshunt_node.aio.httpserver import Exchange, HttpServer, Response
from record import CRASHED, DIED, Record, RunSeen
from soakwire import Wire

BEAT_SECONDS = 1.0
BEAT_RETRY_SECONDS = 0.15
STEP_SECONDS = 0.005
LISTED = 500
SHRUNK_SECONDS = 4.0
"""Seconds until a room that has shrunk counts: `contact_ms` and a beat."""

AWAY_SECONDS = 3.4
"""Seconds after which a runner that a task has crashed is back, as another life."""

DRAIN_SECONDS = 2.0
"""Seconds for which a runner that leaves serves on after its word was acknowledged, at least."""

LONGEST_DRAIN = 3.0
"""The same, at most."""

ACKNOWLEDGE_SECONDS = 1.0
"""Seconds for which a runner waits until its notice of its end is acknowledged."""

UNACKNOWLEDGED_SECONDS = 5.0
"""Seconds for which it serves on if that doesn't happen."""

RETURNS = 0.6
"""Share of the lives that bear the id of the one before, of runners that tell their start."""

CLOCK_SET = 5000
"""Milliseconds by which a host's clock may have been set, ahead or back, before a life starts."""


@dataclass(slots=True)
class Faults:
    """What is wrong with a runner now."""

    silent: bool = False
    """Takes calls and says nothing; does nothing."""
    loses_answers: bool = False
    loses_stops: bool = False
    """Orders to stop get lost on their way."""
    late: float = 0.0
    """Carries orders out so many seconds later, and says nothing."""
    fails: bool = False
    stands_still: bool = False
    """What runs makes no progress."""
    speed: float = 1.0
    odd_rows: bool = False
    """Lists rows that can't be read, also in the place of a run's own."""


class SoakRunner:
    """One runner. `lengths` tells how long a job's tasks take.

    `crashing` names the tasks that take their runner down, and after how many seconds of work.
    """

    def __init__(
        self,
        name: str,
        address: tuple[str, int],
        registration: str,
        record: Record,
        lengths: dict[str, float],
        rng: Random,
        *,
        capacity: int = 8000,
        hold_max: float = 1.0,
        stop: float = 0.05,
        guards: bool = True,
        hall: str = "hall",
        crashing: dict[str, float] | None = None,
        returns: bool = False,
        tells_start: bool = True,
    ) -> None:
        self.name = name
        self.faults = Faults()
        self.wire = Wire()
        self.up = True
        self.on_start: Callable[[], None] | None = None
        """Called once, when the next order to start arrives."""
        self.on_notice: Callable[[], None] = lambda: None
        """Called as it sends the notice of its end."""
        self._address = address
        self._registration = HttpClient(registration)
        self._record = record
        self._lengths = lengths
        self._rng = rng
        self._full = capacity
        self._capacity = capacity
        self._shrunk_at = float("-inf")
        self._before = capacity
        """Its capacity before it shrank last."""
        self._hold_max = hold_max
        self._stop = stop
        self._guards = guards
        self._hall = hall
        self._crashing = {} if crashing is None else crashing
        self._lives = 0
        self._ids = Random(f"ids of {name}") if returns else None
        """Draws what tells the next life from the one before, if it may bear the same id."""
        self._draws_old_id = lambda: self._ids is not None and self._ids.random() < RETURNS
        self._tells_start = tells_start
        self.born = 0
        """When this life started (ms since 1970), by its host's clock; 0 if it is not told."""
        self.leaving = False
        self._rate = 1.0
        self.life = ""
        self._server = HttpServer(self)
        self._waiting: list[tuple[float, Exchange]] = []
        self._back_at: float | None = None
        """When it comes back after a task took it down."""
        self._live_anew()

    async def start(self) -> None:
        """Listen, and register for ever."""
        await self._server.start("{}:{}".format(*self._address))

    async def run(self) -> None:
        """Let time pass and register, until cancelled."""
        next_beat = 0.0
        while True:
            now = monotonic()
            self.step(now)
            if self._back_at is not None and now >= self._back_at:
                self.restart()
            if self.up and now >= next_beat:
                next_beat = now + (BEAT_SECONDS if await self._beat() else BEAT_RETRY_SECONDS)
            await asyncio.sleep(STEP_SECONDS)

    def crash(self) -> None:
        """Die with all that runs."""
        now = monotonic()
        self.step(now)
        self._die(now)

    def _crash_at(self, now: float) -> None:
        """Die by what runs here, and come back after a while."""
        self._die(now)
        self._back_at = now + AWAY_SECONDS

    def _die(self, now: float) -> None:
        """End all that runs; nobody hears of it, not even those that wait for an answer."""
        for run in list(self.running.values()):
            self._end(run, DIED, now)
        self._waiting.clear()
        self._finished.clear()
        self.up = False

    def resize(self, share: float) -> None:
        """Have only a share of the full capacity from now on; the next heartbeat tells it."""
        self._before = self._counts(monotonic())
        self._shrunk_at = monotonic()
        self._capacity = round(self._full * share)

    def _counts(self, now: float) -> int:
        """Return the capacity that a start is judged by: one that has shrunk counts later."""
        if now < self._shrunk_at + SHRUNK_SECONDS:
            return max(self._before, self._capacity)
        return self._capacity

    def return_always(self) -> None:
        """Start again under the present id from now on, and tell when."""
        self._tells_start = True
        self._draws_old_id = lambda: True

    def restart(self) -> None:
        """Come back as another life."""
        self._back_at = None
        self._live_anew()
        self.up = True

    # HTTP.

    def handle(self, exchange: Exchange) -> None:
        """Take a call."""
        now = monotonic()
        self.step(now)
        request = exchange.request
        if not self.up or self.faults.silent:
            return
        life = request.headers.get("x-expected-instance", self.life)
        asked = json.loads(request.body)
        kind = request.path.rpartition("/")[2]
        meant = self._lives if life == self.life else 0
        if self.wire.takes(exchange, partial(self._carry_out, meant, kind, asked)):
            return
        if life != self.life:
            self._respond(exchange, Response(421))
            return
        if kind == "run-start" and self.on_start is not None:
            hook, self.on_start = self.on_start, None
            hook()
        if self.faults.loses_stops and kind == "run-stop":
            return
        if self.faults.late and kind != "hold":
            loop = asyncio.get_running_loop()
            loop.call_later(self.faults.late, self._carry_out, self._lives, kind, asked)
            return
        if kind == "hold":
            self._hold(now, exchange, asked)
            return
        status, body = self._do(now, kind, asked)
        if not self.faults.loses_answers:
            self._answer(exchange, status, body)

    def abandoned(self, exchange: Exchange) -> None:
        """Forget a call whose caller has gone."""
        self._waiting = [(at, other) for at, other in self._waiting if other is not exchange]

    # Time.

    def clock_ms(self, now: float) -> int:
        """Return the runner's own steady clock."""
        return int((now - self._born) * 1000 * self._rate) + self._clock_base

    def step(self, now: float) -> None:
        """Let what is due end."""
        moved = False
        for run in list(self.running.values()):
            after = self._crashing.get(run.task)
            if after is not None and run.began + after <= min(now, run.lease_end):
                self._end(run, CRASHED, run.began + after)
                self._crash_at(now)
                return
            end = min(run.lease_end, run.due)
            still = self.faults.stands_still and run.task not in self._stopping
            if still and run.due <= now < run.lease_end:
                run.due = now + STEP_SECONDS
            elif end <= now:
                how = "lapsed" if run.lease_end < run.due else self._way_of(run)
                self._end(run, how, end)
                moved = True
        for waiting in list(self._waiting):
            if moved or waiting[0] <= now:
                self._waiting.remove(waiting)
                self._answer(waiting[1], 200, self._lists())

    # Inside.

    def _live_anew(self) -> None:
        self._lives += 1
        returns = self._tells_start and self._draws_old_id()
        if not (self.life and returns):
            self.life = f"i-{self.name}-{self._lives}"
        if self._ids is not None and self._tells_start:
            self.born = round(time() * 1000) + self._ids.randint(-CLOCK_SET, CLOCK_SET)
        self.leaving = False
        self._record.serves_again(self.name)
        self._sequence = 0
        self._born = monotonic()
        self._clock_base = self._rng.randrange(10_000, 900_000)
        self._rate = self._rng.choice([1.0, 0.98])
        self._fence = 0
        self._count = 0
        self._deadline_ms = 0
        self.running: dict[str, RunSeen] = {}
        self._stopping: set[str] = set()
        self._needs: dict[str, int] = {}
        self._finished: list[list[Any]] = []
        self._ended: dict[int, RunSeen] = {}
        """Runs by the numbers of their ends."""
        self._highest: dict[str, int] = {}

    async def _beat(self) -> bool:
        self._sequence += 1
        leaving, life = self.leaving, self._lives
        done = await self._register(json.dumps(self._account()).encode()) == 200
        if done and leaving and life == self._lives:
            self._record.acknowledged(self.name, monotonic())
        return done

    async def leave(self, away: float, *, loses_acknowledgement: bool = False) -> None:
        """Say that it leaves, serve on for a while, end, and start again after so many seconds.

        If its last notice isn't acknowledged, or the acknowledgement is lost, it ends later.
        """
        if not self.up or self.leaving:
            return
        life, self.leaving = self._lives, True
        while self._goes_on(life) and not await self._beat():
            await asyncio.sleep(BEAT_RETRY_SECONDS)
        await asyncio.sleep(self._rng.uniform(DRAIN_SECONDS, LONGEST_DRAIN))
        if not self._goes_on(life):
            return
        told = {"born": self.born} if self.born and self._rng.random() < RETURNS else {}
        body = json.dumps(told).encode() if told else b""
        self.on_notice()
        status = await self._say("Deregister", body, ACKNOWLEDGE_SECONDS)
        if status != 200 or loses_acknowledgement:
            await asyncio.sleep(UNACKNOWLEDGED_SECONDS)
        if self._goes_on(life):
            self._die(monotonic())
            await asyncio.sleep(away)
            if not self.up and life == self._lives:
                self.restart()

    def _goes_on(self, life: int) -> bool:
        return self.up and life == self._lives

    async def speak_oddly(self, number: int) -> int | None:
        """Have another writer speak in its name; return the answer's status."""
        bodies = soakwords.beats({**self._account(), "sequence": self._sequence + 1000})
        return await self._register(bodies[number % len(bodies)])

    def _account(self) -> dict[str, Any]:
        return {
            "service": "svc",
            "zone": self._hall,
            "state": "draining" if self.leaving else "ready",
            "capacity": {"cpu": self._capacity, "mem_mb": 64000, "gpu": 0},
            "sequence": self._sequence,
            **self._start_told(),
        }

    def _start_told(self) -> dict[str, Any]:
        return {"born": self.born} if self.born else {}

    async def _register(self, body: bytes) -> int | None:
        return await self._say("Heartbeat", body)

    async def _say(self, word: str, body: bytes, timeout: float = 0.5) -> int | None:
        path = f"/paddleshunt/Instances.{word}/{self.life}"
        try:
            return (await self._registration.call("POST", path, timeout, body)).status
        except CallError:
            return None

    def _carry_out(self, life: int, kind: str, asked: dict[str, Any]) -> None:
        """Do what was put off, if it was received by this life: one holds nothing of before."""
        if self.up and life == self._lives:
            now = monotonic()
            self.step(now)
            if kind == "hold":
                self._take_note(now, asked)
            else:
                self._do(now, kind, asked, late=True)

    def _do(
        self, now: float, kind: str, asked: dict[str, Any], *, late: bool = False
    ) -> tuple[int, dict[str, Any]]:
        if int(asked["fencing_token"]) < self._fence:
            return 409, {"reason": "fence"}
        self._fence = int(asked["fencing_token"])
        if kind == "run-stop":
            self._stop_run(now, str(asked["task"]), int(asked["run"]))
            return 200, {}
        return self._start_run(now, asked, late=late)

    def _start_run(
        self, now: float, asked: dict[str, Any], *, late: bool
    ) -> tuple[int, dict[str, Any]]:
        task, number = str(asked["task"]), int(asked["run"])
        deadline = int(asked["deadline_ms"])
        if deadline <= self.clock_ms(now):
            return 409, {"reason": "late"}
        self._prolong(now, deadline)
        known = self.running.get(task)
        if known is not None and known.number == number:
            return 200, {}
        if number <= self._highest.get(task, 0) or known is not None:
            return 409, {"reason": "old"}
        need = int(asked["spec"])
        used = sum(self._needs.values())
        if used + need > self._capacity:
            if self._guards:
                return 409, {"reason": "room"}
            if used + need > self._counts(now):
                self._record.over_capacity(self.name, now, used + need, self._counts(now))
        length = self._lengths[task.partition(".")[0]] / self.faults.speed
        lease_end = now + (self._deadline_ms - self.clock_ms(now)) / 1000 / self._rate
        run = RunSeen(task, number, self.name, now, lease_end, now + length, late=late)
        run.notes.append(f"deadline {deadline - self.clock_ms(now):+d} ms")
        self.running[task] = run
        self._needs[task] = need
        self._record.started(run)
        return 200, {}

    def _stop_run(self, now: float, task: str, number: int) -> None:
        self._highest[task] = max(self._highest.get(task, 0), number)
        run = self.running.get(task)
        if run is not None and run.number == number and task not in self._stopping:
            run.notes.append(f"order to stop {now - run.began:+.3f} s after its start")
            self._stopping.add(task)
            run.due = min(run.due, now + self._rng.uniform(0.0, self._stop))

    def _hold(self, now: float, exchange: Exchange, asked: dict[str, Any]) -> None:
        if not self._take_note(now, asked):
            self._answer(exchange, 409, {"reason": "fence"})
            return
        wait = int(asked.get("wait_ms", 0)) / 1000
        if self._finished or not wait:
            if not self.faults.loses_answers:
                self._answer(exchange, 200, self._lists())
        elif not self.faults.loses_answers:
            self._waiting.append((now + wait, exchange))

    def _take_note(self, now: float, asked: dict[str, Any]) -> bool:
        """Do what a look asks for beside its answer; return whether its fence was in force."""
        if int(asked["fencing_token"]) < self._fence:
            return False
        self._fence = int(asked["fencing_token"])
        if "deadline_ms" in asked:
            self._prolong(now, int(asked["deadline_ms"]))
        seen = int(asked["last_seen"])
        for row in self._finished:
            self._ended[row[0]].noted = row[0] <= seen
        self._finished = [row for row in self._finished if row[0] > seen]
        return True

    def _prolong(self, now: float, deadline_ms: int) -> None:
        longest = self.clock_ms(now) + int(self._hold_max * 1000)
        self._deadline_ms = max(self._deadline_ms, min(deadline_ms, longest))
        end = now + (self._deadline_ms - self.clock_ms(now)) / 1000 / self._rate
        for run in self.running.values():
            run.lease_end = max(run.lease_end, end)

    def _way_of(self, run: RunSeen) -> str:
        if run.task in self._stopping:
            return "stopped"
        return "failed" if self.faults.fails else "done"

    def _end(self, run: RunSeen, how: str, at: float) -> None:
        run.end, run.how = at, how
        del self.running[run.task]
        del self._needs[run.task]
        self._stopping.discard(run.task)
        self._highest[run.task] = max(self._highest.get(run.task, 0), run.number)
        self._count += 1
        self._finished.append([self._count, run.task, run.number, how, ""])
        self._ended[self._count] = run

    def _lists(self) -> dict[str, Any]:
        now = monotonic()
        rows: list[Any] = [
            [run.task, run.number, "", self._percent(run, now), 0] for run in self.running.values()
        ]
        if self.faults.odd_rows:
            rows = [*soakwords.ROWS, *(row[: len(row) // 2] for row in rows[:1]), *rows[1:]]
        return {"running": rows, "finished": self._finished[:LISTED], **self._start_told()}

    def _percent(self, run: RunSeen, now: float) -> int:
        length = self._lengths[run.task.partition(".")[0]]
        return min(99, int(100 * (now - run.began) / length))

    def _answer(self, exchange: Exchange, status: int, body: dict[str, Any]) -> None:
        raw = json.dumps({"clock_ms": self.clock_ms(monotonic()), **body}).encode()
        self._respond(exchange, Response(status, raw, "application/json"))

    def _respond(self, exchange: Exchange, response: Response) -> None:
        if not self.wire.resets(exchange):
            exchange.respond(response)

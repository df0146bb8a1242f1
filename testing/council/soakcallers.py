"""Callers of a soak: they hand jobs in, wait on open connections, and send again on silence."""

import asyncio
import json
from dataclasses import dataclass
from random import Random
from time import monotonic

from deployment import Deployment, Process
from paddleshunt_node.aio.httpclient import CallError, HttpClient, HttpResponse, NotSentError
from record import Record, TrySeen
from soakconfig import PREFIX

MOST_TRIES = 3
SERVED = 200
REFUSALS = (429, 503)
KINDS = ((8, 0.12), (4, 1.8), (2, 0.4), (2, 0.4), (6, 0.9))
"""Jobs that are handed in: how many tasks, and how long each takes."""

FOR_EVER = 120.0
"""Seconds, longer than any soak: a caller's connection stays open behind its back."""

CANCEL_TIMEOUT = 2.0
"""Seconds for which a caller waits until a cancellation is answered."""

CANCEL_PAUSE = 0.2
"""Seconds before it sends one again that was not acknowledged."""

ACKNOWLEDGED = (200, 410)

READY_PATH = "/paddleshunt/readiness"
ASK_SECONDS = 0.5
UNSENT_PAUSE = 0.1
"""Seconds before a caller that got no connection tries the next entry."""


@dataclass(frozen=True)
class _Job:
    """A job to hand in: its tasks' number, length, and need of processor."""

    count: int
    length: float
    deadline: float
    need: int
    leaves: bool
    """Whether its caller leaves before the answer."""


class Callers:
    """Hands in jobs at a rate; each caller keeps its connection until the answer, or its end."""

    def __init__(
        self, deployment: Deployment, record: Record, rng: Random, *, leaving: float = 0.03
    ) -> None:
        self._deployment = deployment
        self._record = record
        self._rng = rng
        self._leaving = leaving
        """Share of callers that leave before their answer."""
        self._resend = deployment.bounds.resend_ms / 1000
        self._clients: list[HttpClient] = []
        """Kept, so that answered connections stay open as long as their entry leaves them so."""
        self._jobs: set[asyncio.Task[None]] = set()
        self._silent: set[asyncio.Future[HttpResponse]] = set()
        """Calls that were not answered in time, whose connections stay open."""
        self._ready: set[str] = set()
        self.rate = 0.0
        """Jobs a second."""

    async def run(self) -> None:
        """Hand in jobs until cancelled."""
        watching = asyncio.ensure_future(self._watch())
        try:
            while True:
                await asyncio.sleep(self._rng.expovariate(max(self.rate, 0.001)))
                count, length = self._rng.choice(KINDS)
                self.submit(count, length)
        finally:
            watching.cancel()

    def submit(
        self,
        count: int,
        length: float,
        deadline: float = 4.0,
        need: int = 1000,
        *,
        leaves: bool | None = None,
        crashes_after: float | None = None,
        key: str = "",
    ) -> str:
        """Hand a job in, and return its key; by chance its caller leaves early.

        `crashes_after`: seconds of work after which its first task takes each runner down.
        `key`: of a job that was handed in before.
        """
        if leaves is None:
            leaves = self._rng.random() < self._leaving
        key = key or f"{self._rng.getrandbits(64):016x}"
        if crashes_after is not None:
            self._deployment.crashing[f"{key}.0.0.0"] = crashes_after
        self._deployment.lengths[key] = length
        task = asyncio.ensure_future(self._call(key, _Job(count, length, deadline, need, leaves)))
        self._jobs.add(task)
        task.add_done_callback(self._jobs.discard)
        return key

    async def cancel(self, key: str, entry: Process) -> float:
        """Cancel a job at an entry, again until that is acknowledged; return when it was."""
        client = HttpClient(f"{entry.address}:{self._deployment.ports['callers']}")
        while True:
            try:
                answer = await client.call("DELETE", f"{PREFIX}{key}", CANCEL_TIMEOUT)
                if answer.status in ACKNOWLEDGED:
                    return monotonic()
            except CallError:
                pass
            await asyncio.sleep(CANCEL_PAUSE)

    async def finish(self) -> None:
        """Wait for the answers that are due yet."""
        await asyncio.gather(*self._jobs)

    async def leave(self) -> None:
        """Close the connections on which nothing was answered."""
        for call in self._silent:
            call.cancel()
        await asyncio.gather(*self._silent, return_exceptions=True)

    async def _call(self, key: str, job: "_Job") -> None:
        for _ in range(MOST_TRIES):
            entry = self._choose()
            if entry is not None:
                seen = self._record.sent(key, job.count, entry.name, monotonic())
                seen.outcome = await self._try(entry, seen, job)
                seen.ended = monotonic()
                if seen.outcome in ("completed", "failed", "refused", "left", "cancelled"):
                    return
                if seen.outcome == "unsent":
                    await asyncio.sleep(UNSENT_PAUSE)
                    continue
            await asyncio.sleep(self._resend)

    async def _try(self, entry: Process, seen: TrySeen, job: "_Job") -> str:
        body = json.dumps(self._body(job)).encode()
        headers = (("X-Deadline-Ms", str(round(job.deadline * 1000))),)
        client = HttpClient(f"{entry.address}:{self._deployment.ports['callers']}")
        self._clients.append(client)
        patience = job.deadline
        if job.leaves:
            patience = self._rng.uniform(0.05, 0.5)
        call = client.call("POST", f"{PREFIX}{seen.job}", FOR_EVER, body, headers)
        waiting = asyncio.ensure_future(call)
        await asyncio.wait({waiting}, timeout=patience)
        if not waiting.done():
            if job.leaves:
                waiting.cancel()
                return "left"
            # Silence: the connection stays open, and the job goes elsewhere.
            self._silent.add(waiting)
            waiting.add_done_callback(lambda call: call.cancelled() or call.exception())
            return "broken: silence"
        try:
            answer = waiting.result()
        except NotSentError:
            return "unsent"
        except CallError as problem:
            return f"broken: {problem}"
        if answer.status == SERVED:
            return str(json.loads(answer.body)["state"])
        if answer.status in REFUSALS:
            return "refused"
        return f"status {answer.status}"

    def _body(self, job: "_Job") -> dict[str, object]:
        step = {
            "count": job.count,
            "cpu": job.need,
            "mem_mb": 10,
            "estimated_ms": round(job.length * 1000 * self._rng.uniform(0.6, 1.6)),
        }
        return {"spec": str(job.need), "steps": [step], "best_effort": True}

    def _choose(self) -> Process | None:
        """Return an entry as the platform's balancer does: one that was ready lately, or any."""
        entries = [e for e in self._deployment.entries if e.name in self._ready]
        entries = entries or [e for e in self._deployment.entries if e.up]
        return self._rng.choice(entries) if entries else None

    async def _watch(self) -> None:
        """Ask the entries whether they are ready, until cancelled."""
        while True:
            for entry in self._deployment.entries:
                try:
                    answer = await self._deployment.get(entry, "ready", READY_PATH)
                except CallError:
                    self._ready.discard(entry.name)
                    continue
                if answer.status == SERVED:
                    self._ready.add(entry.name)
                else:
                    self._ready.discard(entry.name)
            await asyncio.sleep(ASK_SECONDS)

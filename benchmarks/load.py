"""An open-loop load: jobs arrive when they are due, whatever became of those before them."""

import json
import queue
import threading
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

import urllib3
from hdrh.histogram import HdrHistogram

SERVICE = "results"
THREADS = 600


@dataclass(frozen=True)
class Phase:
    """A stretch of load: jobs a second (0: all `jobs` at once) and how many."""

    name: str
    rate: float
    jobs: int
    tasks: int = 10
    straggler_share: float = 0.0
    deadline_ms: int = 8000


@dataclass
class Outcome:
    """What became of a phase: ratios of response to ideal in thousandths, and outcomes."""

    outcomes: Counter[str] = field(default_factory=Counter)
    ratios: HdrHistogram = field(default_factory=lambda: HdrHistogram(1, 100_000_000, 3))
    refusals: HdrHistogram = field(default_factory=lambda: HdrHistogram(1, 100_000_000, 3))
    overhead: HdrHistogram = field(default_factory=lambda: HdrHistogram(1, 100_000_000, 3))
    seconds: float = 0.0
    tasks_done: int = 0
    wrong: int = 0


def run_phase(
    phase: Phase, urls: list[str], seed: int, during: Callable[[], None] | None = None
) -> Outcome:
    """Run a phase against entries; `during` is called once, a third of the way through."""
    rng = Random(seed)
    outcome = Outcome()
    lock = threading.Lock()
    jobs: queue.SimpleQueue[tuple[float, list[int], str] | None] = queue.SimpleQueue()
    pool = urllib3.PoolManager(retries=False, maxsize=THREADS, block=False)
    threads = [
        threading.Thread(target=_caller, args=(jobs, pool, phase, outcome, lock, urls))
        for _ in range(min(THREADS, max(phase.jobs, 8)))
    ]
    for thread in threads:
        thread.start()
    begin = time.monotonic() + 0.1
    due = begin
    for number in range(phase.jobs):
        if during is not None and number == phase.jobs // 3:
            threading.Thread(target=during).start()
        if phase.rate:
            due += rng.expovariate(phase.rate)
            time.sleep(max(0.0, due - time.monotonic()))
        jobs.put((due, _durations(phase, rng), urls[number % len(urls)]))
    for _ in threads:
        jobs.put(None)
    for thread in threads:
        thread.join()
    outcome.seconds = time.monotonic() - begin
    return outcome


def _durations(phase: Phase, rng: Random) -> list[int]:
    """Return the tasks' lengths in milliseconds: 50 to 500, stragglers 3 s."""
    return [
        3000 if rng.random() < phase.straggler_share else rng.randint(50, 500)
        for _ in range(phase.tasks)
    ]


def _caller(
    jobs: "queue.SimpleQueue[tuple[float, list[int], str] | None]",
    pool: urllib3.PoolManager,
    phase: Phase,
    outcome: Outcome,
    lock: threading.Lock,
    urls: list[str],
) -> None:
    while (job := jobs.get()) is not None:
        due, durations, url = job
        kind, right = _submit(pool, url, urls, durations, phase.deadline_ms)
        spent_ms = (time.monotonic() - due) * 1000
        ideal_ms = max(durations)
        with lock:
            outcome.outcomes[kind] += 1
            if kind == "complete":
                outcome.ratios.record_value(int(spent_ms / ideal_ms * 1000))
                outcome.overhead.record_value(max(1, int((spent_ms - ideal_ms) * 1000)))
                outcome.tasks_done += len(durations)
                outcome.wrong += not right
            else:
                outcome.refusals.record_value(max(1, int(spent_ms)))


def _submit(
    pool: urllib3.PoolManager, url: str, urls: list[str], durations: list[int], deadline_ms: int
) -> tuple[str, bool]:
    """Mint and submit as a careful caller does: a broken connection is tried elsewhere."""
    tasks = [{"ms": ms} for ms in durations]
    body = {"service": SERVICE, "deadline_ms": deadline_ms, "tasks": tasks}
    order = [url, *[each for each in urls if each != url]]
    submission = ""
    for each in order:
        try:
            if not submission:
                raw = json.dumps({"service": SERVICE}).encode()
                minted = pool.request("POST", f"{each}/v1/submissions", body=raw, timeout=10)
                if minted.status != 201:
                    return "not_accepted", True
                submission = json.loads(minted.data)["id"]
            path = f"{each}/v1/submissions/{submission}"
            reply = pool.request("PUT", path, body=json.dumps(body).encode(), timeout=30)
        except (urllib3.exceptions.HTTPError, OSError):
            continue
        answer = json.loads(reply.data)
        kind = str(answer.get("outcome", f"status {reply.status}"))
        return kind, answer.get("results") == tasks
    return "no answer", True

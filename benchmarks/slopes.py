"""`make slopes`: how cost grows with size, measured over a few points and fitted by a line.

Core costs are processor time of the state machines alone; costs of sockets, threads and HTTP are
taken from real sockets and processes. Writes docs/measurements/slopes.json, from which
`capacity.py` works out docs/CAPACITY.md.
"""

import json
import resource
import statistics
import subprocess
import sys
import tempfile
import time
import tracemalloc
from collections.abc import Callable
from dataclasses import asdict, dataclass, replace
from functools import partial
from pathlib import Path
from random import Random
from threading import Thread

import msgspec
import pynng
from bench import cpu_percent, measured
from load import Phase, run_phase
from paddleshunt_core.allotments import Allotment, Holder, divide
from paddleshunt_core.effects import Send, Start
from paddleshunt_core.entry import Entry, EntrySettings
from paddleshunt_core.gate import Gate, GateLimits
from paddleshunt_core.home import Home
from paddleshunt_core.homelimits import HomeLimits
from paddleshunt_core.ids import Incarnation, mint
from paddleshunt_core.members import Host, Role
from paddleshunt_core.messages import (
    Assign,
    Envelope,
    Exchange,
    Heartbeat,
    Load,
    PeerInfo,
    Report,
    Share,
    Submit,
    Task,
    TaskBatch,
    TaskResult,
    View,
    encode,
)
from paddleshunt_core.placement import Placement
from paddleshunt_core.table import Row, TableDocument
from processes import COUNCIL, Fleet

ROOT = Path(__file__).parent.parent
OUT = ROOT / "docs" / "measurements" / "slopes.json"
REPEATS = 5
NOW = 1000.0
PAYLOAD = b'{"ward": "Ward 12", "booths": 5, "votes": [10, 20, 30]}'
ENTRY = Incarnation("entry-0", "1")
HOME = Incarnation("home", "1")


@dataclass(frozen=True)
class Slope:
    """A fitted line: `y = intercept + slope * x`; `error` is in percent of y."""

    name: str
    unit: str
    per: str
    slope: float
    intercept: float
    error: float
    points: list[tuple[float, float]]


def fit(name: str, unit: str, per: str, points: list[tuple[float, float]]) -> Slope:
    """Fit a line by least squares."""
    slope, intercept = statistics.linear_regression(*zip(*points, strict=True))
    misses = [abs(intercept + slope * x - y) / max(abs(y), 1e-9) * 100 for x, y in points]
    return Slope(
        name, unit, per, round(slope, 5), round(intercept, 3), round(max(misses), 1), points
    )


def sweep(
    name: str, unit: str, per: str, sizes: list[int], measure: Callable[[int], float]
) -> Slope:
    """Measure at each size, take the median of some repeats, and fit.

    The error is the larger of the fit's miss and half of what the repeats differ by; `with_drift`
    widens it to what two recorded runs differ by.
    """
    points: list[tuple[float, float]] = []
    spread = 0.0
    for size in sizes:
        found = sorted(measure(size) for _ in range(REPEATS))
        middle = statistics.median(found)
        points.append((float(size), round(middle, 3)))
        spread = max(spread, (found[-1] - found[0]) / 2 / max(abs(middle), 1e-9) * 100)
    fitted = fit(name, unit, per, points)
    return replace(fitted, error=max(fitted.error, round(spread, 1)))


def spent_us(action: Callable[[], object]) -> float:
    """Return the processor microseconds that an action takes."""
    begin = time.process_time()
    action()
    return (time.process_time() - begin) * 1e6


def held_bytes(make: Callable[[], object]) -> float:
    """Return the bytes that what `make` returns holds."""
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    kept = make()
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del kept
    return float(after - before)


# Target, as gate.


def _gate(slots: int) -> Gate:
    gate = Gate(GateLimits(slots, queue=slots))
    gate.set_share(NOW, Share(1, slots, 2 * slots))
    return gate


def _assign(seq: int, indexes: range, acked: int) -> Assign:
    tasks = [Task(index, PAYLOAD) for index in indexes]
    return Assign(seq, int(NOW * 1000), acked, [TaskBatch("s" * 60, "results", 10_000, tasks)])


def gate_task_us(tasks: int) -> float:
    """Take tasks eight at a time, start and end each, report and forget."""

    def work() -> None:
        gate = _gate(8)
        acked = 0
        for number in range(0, tasks, 8):
            message = _assign(number + 1, range(number, number + 8), acked)
            for effect in gate.assign(NOW, HOME, "home:1", message):
                if isinstance(effect, Start):
                    gate.finished(NOW, effect.submission, effect.index, True, PAYLOAD)
            for send in gate.flush(NOW):
                assert isinstance(send, Send)
                assert isinstance(send.body, Report)
                acked = send.body.number
                encode(Envelope(1, HOME, "h:1", HOME, send.body))

    return spent_us(work)


def gate_record_bytes(records: int) -> float:
    """Hold records of ended tasks that are not acknowledged yet."""

    def make() -> Gate:
        gate = _gate(records)
        gate.assign(NOW, HOME, "home:1", _assign(1, range(records), 0))
        for index in range(records):
            gate.finished(NOW, "s" * 60, index, True, PAYLOAD)
        gate.flush(NOW)
        return gate

    return held_bytes(make)


# Target, as home.


def _home(links: int, slots: int = 8) -> Home:
    home = Home(HOME, HomeLimits(max_records=1_000_000), Placement("hall", Random(1)))
    home.update_peers(NOW, _peers(links, slots), set())
    return home


def _peers(count: int, slots: int = 8) -> list[PeerInfo]:
    return [
        PeerInfo(
            Incarnation(f"target-{n}", "1"), f"10.0.0.1:{7000 + n}", "hall", 0, Load(slots=slots)
        )
        for n in range(count)
    ]


def _submit(tasks: int, rng: Random) -> Submit:
    name = mint(HOME, int(NOW * 1000), rng)
    return Submit(name, "results", False, 60_000, b"d" * 16, [PAYLOAD] * tasks)


def home_task_us(tasks: int) -> float:
    """Take one job, place its tasks on 32 targets and take their results one by one."""

    def work() -> None:
        rng = Random(1)
        home = _home(32, slots=64)
        home.submit(NOW, ENTRY, "e", _submit(tasks, rng))
        numbers: dict[Incarnation, int] = {}
        for send in home.flush(NOW):
            assert isinstance(send, Send)
            assert isinstance(send.body, Assign)
            for batch in send.body.batches:
                for task in batch.tasks:
                    numbers[send.to] = numbers.get(send.to, 0) + 1
                    result = TaskResult(batch.submission, task.index, True, PAYLOAD)
                    report = Report(
                        numbers[send.to], send.body.seq, 0, 0, Load(64), False, [result], [], [], []
                    )
                    home.report(NOW, send.to, report)
                    home.flush(NOW)

    return spent_us(work)


def home_job_us(jobs: int) -> float:
    """Take jobs of one task each, and answer them."""

    def work() -> None:
        rng = Random(1)
        home = _home(32)
        for _ in range(jobs):
            home.submit(NOW, ENTRY, "e", _submit(1, rng))
            (send,) = home.flush(NOW)
            assert isinstance(send, Send)
            assert isinstance(send.body, Assign)
            result = TaskResult(send.body.batches[0].submission, 0, True, PAYLOAD)
            report = Report(1, send.body.seq, 0, 0, Load(8), False, [result], [], [], [])
            home._links[send.to].last_report = 0
            home.report(NOW, send.to, report)

    return spent_us(work)


def closed_id_bytes(ids: int) -> float:
    """Hold ids that are closed, with an answer of one small result each."""

    def make() -> Home:
        rng = Random(1)
        home = _home(1)
        home.leaving = True
        for _ in range(ids):
            home.submit(NOW, ENTRY, "e", _submit(1, rng))
        return home

    return held_bytes(make)


def running_task_bytes(tasks: int) -> float:
    """Hold a running job's tasks, all placed."""

    def make() -> Home:
        home = _home(32, slots=200)
        home.submit(NOW, ENTRY, "e", _submit(tasks, Random(1)))
        home.flush(NOW)
        return home

    return held_bytes(make)


def link_bytes(links: int) -> float:
    """Hold what a home knows of targets."""
    return held_bytes(lambda: _home(links))


# Entry.


def _heartbeat(number: int) -> Heartbeat:
    return Heartbeat(
        f"10.0.{number // 250}.{number % 250}:7000",
        f"hall-{number % 5}",
        f"hall-{number % 5}",
        f"service-{number // 6}",
        False,
        False,
        5000,
        Load(8, 3, 1, 2),
        7,
        5,
    )


def _entry(members: int, entries: int = 10) -> Entry:
    entry = Entry(EntrySettings(ENTRY, "10.0.0.1:7000"), Random(1))
    hosts = [
        Host(f"entry-{n}", Role.ENTRY, "hall-0", "hall-0", f"10.1.0.{n}:7000")
        for n in range(entries)
    ]
    entry.update_hosts(NOW, hosts)
    for number in range(members):
        entry.members.record_heartbeat(
            NOW, Incarnation(f"t-{number}", "1"), _heartbeat(number), 0.0
        )
    return entry


def heartbeat_us(members: int) -> float:
    """Take a heartbeat and answer it with a view, encoded."""
    entry = _entry(members)
    names = [Incarnation(f"t-{n}", "1") for n in range(50)]

    def work() -> None:
        for number, name in enumerate(names):
            for effect in entry._heartbeat(NOW + 1.0, name, _heartbeat(number)):
                assert isinstance(effect, Send)
                encode(Envelope(1, ENTRY, "a:1", name, effect.body))

    return spent_us(work) / len(names)


def exchange_bytes(members: int) -> float:
    """Return the bytes an entry sends to another one each interval, all members having beaten."""
    entry = _entry(members)
    hello = Exchange(0, [], [])
    entry.handle(NOW, Envelope(1, Incarnation("entry-1", "1"), "a:1", ENTRY, hello))
    entry._exchange_to(NOW + 1.0, "entry-1", "a:1")
    for number in range(members):
        entry.members.record_heartbeat(
            NOW + 2.0, Incarnation(f"t-{number}", "1"), _heartbeat(number), 0.0
        )
    send = entry._exchange_to(NOW + 2.0, "entry-1", "a:1")
    assert isinstance(send.body, Exchange)
    return float(len(encode(Envelope(1, ENTRY, "a:1", send.to, send.body))))


def change_us(members: int) -> float:
    """Adopt a table and tell all targets that hear of it from this entry."""
    entry = _entry(members)
    rows = [Row(f"service-{n}", f"hall-{n % 5}", 1, 10, 10) for n in range(members // 6)]
    document = TableDocument(9, "edit", [], rows)

    def work() -> None:
        for effect in entry.receive_table(NOW + 1.0, document):
            if isinstance(effect, Send):
                encode(Envelope(1, ENTRY, "a:1", effect.to, effect.body))

    return spent_us(work)


def member_bytes(members: int) -> float:
    """Hold what an entry knows of targets."""
    return held_bytes(lambda: _entry(members))


def view_bytes(peers: int) -> float:
    """Return the bytes of a view with so many peers."""
    entry = _entry(0)
    for number in range(peers):
        beat = msgspec.structs.replace(_heartbeat(number), site="hall-0", service="service-0")
        entry.members.record_heartbeat(NOW, Incarnation(f"t-{number}", "1"), beat, 0.0)
    member = entry.members.all()[0]
    view = entry._view(NOW, member).body
    return float(len(encode(Envelope(1, ENTRY, "a:1", member.incarnation, view))))


def table_bytes(rows: int) -> float:
    """Return the bytes of the table document in the store."""
    made = [Row(f"service-{n // 5}", f"hall-{n % 5}", 10, 1000, 2000) for n in range(rows)]
    return float(len(msgspec.json.encode(TableDocument(9, "e" * 16, ["e" * 16] * 64, made))))


def allotment_bytes(parts: int) -> float:
    """Return the bytes of an allotment document in the store."""
    return float(len(msgspec.json.encode(_allotment(parts))))


def divide_us(parts: int) -> float:
    """Look whether a row's allotment should change."""
    allotment = _allotment(parts)
    holders = [Holder(part.incarnation, 9, False) for part in allotment.parts]
    row = Row("results", "hall", 1, parts * 8, parts * 16)
    return spent_us(lambda: divide(row, allotment, holders, lambda incarnation: False))


def _allotment(parts: int) -> Allotment:
    names = [Incarnation(f"host-{n:04d}", "0018c0ffee00ab12") for n in range(parts)]
    row = Row("results", "hall", 1, parts * 8, parts * 16)
    made = divide(row, None, [Holder(n, 0, False) for n in names], lambda incarnation: False)
    assert made is not None
    return made


def message_sizes() -> dict[str, int]:
    """Return the bytes of messages of fixed size, and of a host in the platform's list."""
    entry = _entry(100)
    member = entry.members.all()[0]
    name = member.incarnation
    beat = encode(Envelope(1, name, "10.0.0.1:7000", ENTRY, _heartbeat(1)))
    whole = entry._view(NOW, member).body
    assert isinstance(whole, View)
    entry.members.record_heartbeat(
        NOW + 1.0, name, msgspec.structs.replace(_heartbeat(0), view=whole.digest), 0.0
    )
    short = encode(Envelope(1, ENTRY, "a:1", name, entry._view(NOW, member).body))
    host = Host("target-0001", Role.TARGET, "hall-0", "hall-0", "10.0.0.1:7000", "service-1")
    return {
        "heartbeat": len(beat),
        "short_view": len(short),
        "host": len(msgspec.json.encode(host)),
    }


# Real sockets.


def socket_kb(sockets: int) -> float:
    """Return the resident kilobytes of connected push sockets in a process of their own."""
    code = (
        "import sys, time, pynng\n"
        "def rss():\n"
        "    lines = open('/proc/self/status').read().splitlines()\n"
        "    return int(next(l for l in lines if l.startswith('VmRSS')).split()[1])\n"
        "n = int(sys.argv[2])\n"
        "first = pynng.Push0(dial=sys.argv[1], send_buffer_size=128)\n"
        "before = rss()\n"
        "held = [pynng.Push0(dial=sys.argv[1], send_buffer_size=128) for _ in range(n)]\n"
        "[s.send(b'x' * 400) for s in held]\n"
        "time.sleep(0.2)\n"
        "print(rss() - before)\n"
    )
    with pynng.Pull0(listen="tcp://127.0.0.1:7990", recv_buffer_size=128) as pull:
        reader = Thread(target=_swallow, args=(pull,), daemon=True)
        reader.start()
        command = [sys.executable, "-c", code, "tcp://127.0.0.1:7990", str(sockets)]
        found = subprocess.run(command, capture_output=True, text=True, check=True)
    return float(found.stdout)


def message_us(messages: int) -> float:
    """Return the processor time of sending and receiving messages of 400 bytes, both sides."""
    with (
        pynng.Pull0(listen="tcp://127.0.0.1:7991", recv_buffer_size=128) as pull,
        pynng.Push0(dial="tcp://127.0.0.1:7991", send_buffer_size=128) as push,
    ):
        before = _used()
        reader = Thread(target=_swallow, args=(pull, messages), daemon=True)
        reader.start()
        for number in range(messages):
            push.send(b"x" * 400)
            if number % 8 == 7:
                time.sleep(0.001)
        reader.join()
        return (_used() - before) * 1e6


def _used() -> float:
    used = resource.getrusage(resource.RUSAGE_SELF)
    return used.ru_utime + used.ru_stime


def _swallow(pull: pynng.Pull0, count: int | None = None) -> None:
    try:
        while count is None or count > 0:
            pull.recv()
            count = None if count is None else count - 1
    except pynng.NNGException:
        return


def all_slopes() -> list[Slope]:
    """Measure everything."""
    wide = [100, 400, 1700]
    return [
        sweep("gate_task", "us", "task", [400, 800, 1600], gate_task_us),
        sweep("gate_record", "bytes", "task not acknowledged", [200, 400, 800], gate_record_bytes),
        sweep("home_task", "us", "task", [200, 800, 1900], home_task_us),
        sweep("home_job", "us", "job of one task", [200, 400, 800], home_job_us),
        sweep("closed_id", "bytes", "id kept", [500, 1000, 2000], closed_id_bytes),
        sweep("running_task", "bytes", "task under way", [200, 800, 1900], running_task_bytes),
        sweep("link", "bytes", "target known to a home", [16, 32, 64], link_bytes),
        sweep("heartbeat", "us", "member", wide, heartbeat_us),
        sweep("exchange", "bytes", "member", wide, exchange_bytes),
        sweep("change", "us", "member", [100, 200, 400], change_us),
        sweep("member", "bytes", "member", wide, member_bytes),
        sweep("view", "bytes", "peer", [8, 16, 24], view_bytes),
        sweep("table", "bytes", "row", [100, 500, 1500], table_bytes),
        sweep("allotment", "bytes", "target of the row", [10, 100, 400], allotment_bytes),
        sweep("divide", "us", "target of the row", [10, 100, 400], divide_us),
        sweep("socket", "kb", "connection", [16, 64, 128], socket_kb),
        sweep("message", "us", "message, both sides", [1000, 2000, 4000], message_us),
    ]


# Real processes.


def process_slopes() -> tuple[list[Slope], dict[str, float]]:
    """Run today's council at three loads; return processor slopes, and memory when idle."""
    targets: list[tuple[float, float]] = []
    entries: list[tuple[float, float]] = []
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(COUNCIL, Path(folder))
        try:
            fleet.start()
            time.sleep(2.0)
            memory = {
                f"{role}_rss_mb": round(max(d.rss_mb() for d in fleet.of_role(role)), 1)
                for role in ("entry", "target")
            }
            urls = [entry.url for entry in fleet.of_role("entry")]
            for rate in (5.0, 10.0, 20.0):
                outcome, usage = measured(
                    fleet, partial(run_phase, Phase("slope", rate, int(rate * 8)), urls, 1)
                )
                assert outcome is not None
                tasks = outcome.tasks_done / usage.seconds / sum(COUNCIL.sites.values())
                jobs = sum(outcome.outcomes.values()) / usage.seconds / COUNCIL.entries
                targets.append((round(tasks, 3), round(cpu_percent(usage, "target") * 10, 3)))
                entries.append((round(jobs, 3), round(cpu_percent(usage, "entry") * 10, 3)))
        finally:
            fleet.stop()
    slopes = [
        fit("target_process", "ms/s", "task a second of a target", targets),
        fit("entry_process", "ms/s", "job a second of an entry", entries),
    ]
    return slopes, memory


def with_drift(slopes: list[Slope]) -> list[Slope]:
    """Widen each error to what the slope differs by from the one recorded before."""
    if not OUT.exists():
        return slopes
    before = {each["name"]: each["slope"] for each in json.loads(OUT.read_text())["slopes"]}
    return [
        replace(s, error=max(s.error, _percent_apart(s.slope, before.get(s.name, s.slope))))
        for s in slopes
    ]


def _percent_apart(one: float, other: float) -> float:
    largest = max(abs(one), abs(other))
    return round(abs(one - other) / largest * 100, 1) if largest else 0.0


def main() -> None:
    """Measure, print and record."""
    commit = subprocess.run(
        ["git", "rev-parse", "--short", "HEAD"],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=True,
    ).stdout.strip()
    slopes = all_slopes()
    processes, memory = process_slopes()
    slopes = with_drift([*slopes, *processes])
    print("| slope | per | slope | intercept | error |\n|---|---|---|---|---|")
    for each in slopes:
        print(
            f"| {each.name} ({each.unit}) | {each.per} | {each.slope:.4g} "
            f"| {each.intercept:.4g} | {each.error}% |"
        )
    if "--dry" not in sys.argv:
        record = {
            "commit": commit,
            "memory": memory,
            "sizes": message_sizes(),
            "slopes": [asdict(each) for each in slopes],
        }
        OUT.write_text(json.dumps(record, indent=1) + "\n")


if __name__ == "__main__":
    main()

"""A small fleet for tests: the real core with a fake clock, fake links, runners and store.

It passes messages between the state machines in order of time, lets tests inject faults into links,
processes and the store, and passes all events to the checker.
"""

import heapq
import itertools
from collections import Counter
from collections.abc import Callable
from random import Random

import msgspec
from fakestore import FakeStore
from fleetparts import Job, Links, Process, Shape
from paddleshunt_core.allotments import Allotment
from paddleshunt_core.checker import (
    Adopted,
    Answered,
    Checker,
    Ended,
    Event,
    Leaving,
    Shares,
    Started,
    Submitted,
)
from paddleshunt_core.effects import Effect, Reply, Send, Start, WriteAllotment
from paddleshunt_core.entry import Entry, EntrySettings, Minted
from paddleshunt_core.events import Log
from paddleshunt_core.gate import GateLimits
from paddleshunt_core.ids import Incarnation
from paddleshunt_core.members import Host, HostState, Role
from paddleshunt_core.messages import (
    PROTOCOL_VERSION,
    Answer,
    Body,
    EntryInfo,
    Envelope,
    Submit,
    body_tag,
    decode,
    encode,
)
from paddleshunt_core.outcomes import Complete, NotAccepted, outcome_tag
from paddleshunt_core.table import Row, TableDocument
from paddleshunt_core.target import Target, TargetSettings
from paddleshunt_platform.store import (
    ABSENT,
    ALLOTMENT_PREFIX,
    TABLE_KEY,
    Listing,
    Value,
    allotment_key,
)
from paddleshunt_platform.tableedit import EditOutcome, apply_edit, read_table

# Intervals and latencies in seconds.
TICK = 0.05
SITE_LATENCY = 0.0005
REMOTE_LATENCY = 0.002
STORE_DELAY = 0.005
HOSTS_INTERVAL = 2.0
SERVICE = "results"


class Fleet:
    """Entries, targets, runners and a store, in one thread with a fake clock."""

    def __init__(self, shape: Shape, seed: int = 1) -> None:
        self.shape = shape
        self.now = 1000.0
        self.rng = Random(seed)
        self.checker = Checker()
        self.trace: list[Event] = []
        self.store = FakeStore()
        self.store.written = self._store_written
        self.links = Links()
        self.sent: Counter[str] = Counter()
        self.processes: dict[str, Process] = {}
        self.hosts: dict[str, Host] = {}
        self.published_hosts: list[Host] = []
        self.list_lags = False
        self.jobs: dict[str, Job] = {}
        self.fail_tasks: set[tuple[str, int]] = set()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._callers: dict[int, Job] = {}
        self._caller = itertools.count(1)
        self._boots = itertools.count(1)
        self.rows = [self._row(site) for site in shape.sites]
        self.limit_history = [self.rows]
        self._start_all()

    def _row(self, site: str) -> Row:
        count = self.shape.sites[site]
        running = self.shape.max_running
        in_flight = self.shape.max_in_flight
        slots = count * self.shape.slots
        return Row(
            SERVICE,
            site,
            1,
            slots if running is None else running,
            2 * slots if in_flight is None else in_flight,
        )

    def _start_all(self) -> None:
        self.edit(self.rows, base=0)
        for number in range(self.shape.entries):
            self._add_host(f"entry-{number}", Role.ENTRY, next(iter(self.shape.sites)))
        for site, count in self.shape.sites.items():
            for number in range(count):
                self._add_host(f"{site}-{number}", Role.TARGET, site)
        self.publish_hosts()
        for host in list(self.hosts):
            self.start(host)
        self._every(HOSTS_INTERVAL, self._update_hosts)
        self.run(4.0)

    def _add_host(self, name: str, role: Role, site: str) -> None:
        service = SERVICE if role is Role.TARGET else ""
        self.hosts[name] = Host(name, role, site, site, name, service)

    def start(self, name: str) -> None:
        """Start a new incarnation on a host."""
        host = self.hosts[name]
        me = Incarnation(name, f"{next(self._boots):08d}")
        machine: Entry | Target
        rng = Random(self.rng.getrandbits(32))
        if host.role is Role.ENTRY:
            machine = Entry(EntrySettings(me, name), rng)
        else:
            machine = Target(self._target_settings(host, me), rng)
        process = Process(name, host.role, host.site, me, machine)
        self.processes[name] = process
        if isinstance(machine, Entry):
            self._start_entry(process, machine)
        else:
            machine.add_listed_entries(self._listed_entries())
        self._tick(process)

    def _target_settings(self, host: Host, me: Incarnation) -> TargetSettings:
        return TargetSettings(
            me=me,
            address=host.host,
            site=host.site,
            data_hall=host.site,
            service=SERVICE,
            gate=GateLimits(self.shape.slots, queue=self.shape.slots),
            home=self.shape.home,
            pipeline=self.shape.pipeline,
        )

    def _start_entry(self, process: Process, entry: Entry) -> None:
        self._perform(process, entry.update_hosts(self.now, self.published_hosts))
        self._perform(process, entry.request_state(self.now))
        self._read_store(process)

    def at(self, delay: float, action: Callable[[], None]) -> None:
        """Run `action` in `delay` seconds."""
        heapq.heappush(self._events, (self.now + delay, next(self._order), action))

    def run(self, seconds: float) -> None:
        """Advance the clock, running what is due."""
        end = self.now + seconds
        while self._events and self._events[0][0] <= end:
            self.now, _, action = heapq.heappop(self._events)
            action()
        self.now = end
        self.check_shares()

    def run_until(self, done: Callable[[], bool], limit: float) -> bool:
        """Advance the clock until `done()`, by at most `limit` seconds; return whether it was."""
        end = self.now + limit
        while not done():
            if not self._events or self._events[0][0] > end:
                return False
            self.now, _, action = heapq.heappop(self._events)
            action()
        return True

    def _every(self, seconds: float, action: Callable[[], None]) -> None:
        def again() -> None:
            action()
            self.at(seconds, again)

        self.at(seconds, again)

    def _tick(self, process: Process) -> None:
        if not process.alive:
            return
        if not process.paused:
            self._perform(process, process.machine.tick(self.now))
            self._flush(process)
        self.at(TICK, lambda: self._tick(process))

    def crash(self, name: str) -> None:
        """End a process abruptly; its runner's tasks continue unobserved."""
        self.processes[name].alive = False

    def pause(self, name: str) -> None:
        """Suspend a process; its inputs are deferred."""
        self.processes[name].paused = True

    def resume(self, name: str) -> None:
        """Resume a suspended process, and pass it the deferred inputs."""
        process = self.processes[name]
        process.paused = False
        deferred, process.deferred = process.deferred, []
        for action in deferred:
            action()

    def leave(self, name: str) -> None:
        """Begin an orderly stop of a process; a target exits once it has finished."""
        process = self.processes[name]
        machine = process.machine
        if isinstance(machine, Entry):
            machine.leaving = True
            return
        self._record(Leaving(self.now, str(process.incarnation)))
        self._perform(process, machine.leave(self.now))
        self._flush(process)
        self._await_exit(process, machine)

    def _await_exit(self, process: Process, machine: Target) -> None:
        if not process.alive:
            return
        if machine.may_exit(self.now):
            self._perform(process, machine.final_heartbeats(self.now))
            process.alive = False
            return
        self.at(TICK, lambda: self._await_exit(process, machine))

    def cut(self, one: str, other: str, *, both: bool = True) -> None:
        """Cut the link between two hosts in both directions, or only from `one` to `other`."""
        self.links.cut.add((one, other))
        if both:
            self.links.cut.add((other, one))

    def isolate_site(self, site: str) -> None:
        """Cut all links between a site's hosts and the others."""
        inside = [h.host for h in self.hosts.values() if h.site == site]
        outside = [h.host for h in self.hosts.values() if h.site != site]
        for one in inside:
            for other in outside:
                self.cut(one, other)

    def heal(self) -> None:
        """Restore all links."""
        self.links.cut.clear()

    def list_host(self, name: str, state: HostState) -> None:
        """Change a host's state in the platform's list."""
        self.hosts[name] = msgspec.structs.replace(self.hosts[name], state=state)
        if not self.list_lags:
            self.publish_hosts()

    def publish_hosts(self) -> None:
        """Publish the current hosts in the platform's list."""
        self.published_hosts = list(self.hosts.values())

    def _update_hosts(self) -> None:
        for process in self.entries():
            entry = process.machine
            assert isinstance(entry, Entry)
            self._perform(process, entry.update_hosts(self.now, self.published_hosts))
        for process in self._live(Role.TARGET):
            target = process.machine
            assert isinstance(target, Target)
            if target.needs_entries(self.now):
                target.add_listed_entries(self._listed_entries())

    def _listed_entries(self) -> list[EntryInfo]:
        hosts = [h for h in self.published_hosts if h.role is Role.ENTRY]
        return [EntryInfo(host.host, host.peers) for host in hosts]

    def submit(
        self,
        name: str,
        tasks: int,
        *,
        through: str = "entry-0",
        deadline: float = 10.0,
        repeatable: bool = False,
    ) -> Job:
        """Mint an id and submit a job; its answers are collected in the returned job."""
        process = self.processes[through]
        entry = process.machine
        assert isinstance(entry, Entry)
        minted = entry.mint(self.now, SERVICE)
        submission = minted.submission if isinstance(minted, Minted) else f"none-{name}"
        payloads = [f'"{name}/{index}"'.encode() for index in range(tasks)]
        deadline_ms = int(deadline * 1000)
        digest = name.encode()
        message = Submit(submission, SERVICE, repeatable, deadline_ms, digest, payloads)
        job = Job(name, submission, message, sent=self.now)
        self.jobs[name] = job
        self._record(Submitted(self.now, submission, tasks, repeatable))
        if isinstance(minted, NotAccepted):
            self._answer(job, Answer(submission, digest, minted))
            return job
        self.resubmit(name, through=through)
        return job

    def resubmit(self, name: str, *, through: str, message: Submit | None = None) -> None:
        """Send the submission again, or `message` under its id, through an entry."""
        job = self.jobs[name]
        process = self.processes[through]
        caller = next(self._caller)
        self._callers[caller] = job

        def send() -> None:
            entry = process.machine
            assert isinstance(entry, Entry)
            self._perform(process, entry.submit(self.now, caller, message or job.message))

        self._pass_input(process, send)

    def look_up(self, name: str, *, through: str) -> None:
        """Query a submission's state through an entry."""
        job = self.jobs[name]
        process = self.processes[through]
        caller = next(self._caller)
        self._callers[caller] = job
        entry = process.machine
        assert isinstance(entry, Entry)
        self._perform(process, entry.look_up(self.now, caller, job.submission))

    def edit(self, rows: list[Row], base: int | None = None, edit: str = "") -> EditOutcome:
        """Apply an edit of the table as the command line does, without delays."""
        in_force = [
            p.machine.table.document for p in self.entries() if isinstance(p.machine, Entry)
        ]
        newest = max(in_force, key=lambda d: d.revision, default=TableDocument(0, "", [], []))
        if base is None:
            stored = read_table(self.store)
            base = max(newest.revision, getattr(stored, "document", newest).revision)
        name = edit or f"edit-{next(self._order)}"
        outcome = apply_edit(self.store, rows, base, name, newest, sleep=lambda seconds: None)
        self.limit_history.append(rows)
        return outcome

    def hand_over(self, document: TableDocument) -> None:
        """Send an accepted table to every entry, as the command line does."""
        for process in self.entries():
            assert isinstance(process.machine, Entry)
            self._perform(process, process.machine.receive_table(self.now, document))

    def entries(self) -> list[Process]:
        """Return the running entries."""
        return self._live(Role.ENTRY)

    def targets(self) -> list[Process]:
        """Return the running targets."""
        return self._live(Role.TARGET)

    def target(self, name: str) -> Target:
        """Return a target's state."""
        machine = self.processes[name].machine
        assert isinstance(machine, Target)
        return machine

    def entry(self, name: str) -> Entry:
        """Return an entry's state."""
        machine = self.processes[name].machine
        assert isinstance(machine, Entry)
        return machine

    def revisions(self) -> dict[str, int]:
        """Return the table revision in force at each running process, by host."""
        revisions: dict[str, int] = {}
        for process in self.processes.values():
            if process.alive:
                revisions[process.host] = process.revision
        return revisions

    def check_shares(self) -> None:
        """Check the sums of shares against the highest limits that were ever in force."""
        for site in self.shape.sites:
            gates = [
                p.machine.gate
                for p in self.processes.values()
                if isinstance(p.machine, Target) and p.site == site and p.alive
            ]
            shares = [gate._share for gate in gates if gate._share is not None]
            limits = [row for rows in self.limit_history for row in rows if row.site == site]
            self._record(
                Shares(
                    self.now,
                    SERVICE,
                    site,
                    sum(share.max_running for share in shares),
                    sum(share.max_in_flight for share in shares),
                    max(row.max_running for row in limits),
                    max(row.max_in_flight for row in limits),
                )
            )

    def _live(self, role: Role) -> list[Process]:
        return [p for p in self.processes.values() if p.role is role and p.alive and not p.paused]

    def _pass_input(self, process: Process, action: Callable[[], None]) -> None:
        if not process.alive:
            return
        if process.paused:
            process.deferred.append(lambda: self._pass_input(process, action))
            return
        action()
        self._flush(process)

    def _flush(self, process: Process) -> None:
        if isinstance(process.machine, Target):
            self._perform(process, process.machine.flush(self.now))

    def _perform(self, process: Process, effects: list[Effect]) -> None:
        for effect in effects:
            match effect:
                case Send():
                    self._send(process, effect)
                case Start():
                    self._run_task(process, effect)
                case Reply(caller, Answer() as answer):
                    self._answer(self._callers[caller], answer)
                case Reply(caller, body):
                    self._callers[caller].answers.append(body_tag(body))
                    self._callers[caller].answered_at.append(self.now)
                case WriteAllotment(allotment):
                    self.at(STORE_DELAY, lambda a=allotment: self._write(process, a))
                case Log("table_adopted", _, fields):
                    process.revision = int(fields["revision"])
                    name = str(process.incarnation)
                    self._record(Adopted(self.now, name, process.revision))
                case Log():
                    pass

    def _send(self, process: Process, send: Send) -> None:
        kind = body_tag(send.body)
        self.sent[kind] += 1
        me = process.incarnation
        raw = encode(Envelope(PROTOCOL_VERSION, me, process.host, send.to, send.body))
        if send.to == me:
            self.at(0.0, lambda: self._deliver(process.host, raw))
            return
        if (process.host, send.address) in self.links.cut or self._is_dropped(kind):
            return
        if self.links.late_copy[kind]:
            self.links.late_copy[kind] -= 1
            self.at(self.links.late_seconds, lambda: self._deliver(send.address, raw))
        for _ in range(self._copies(kind)):
            delay = self._latency(process, send.address) + self.links.delay.get(kind, 0.0)
            delay += self.rng.random() * self.links.jitter
            self.at(delay, lambda: self._deliver(send.address, raw))

    def _is_dropped(self, kind: str) -> bool:
        if self.links.drop[kind]:
            self.links.drop[kind] -= 1
            return True
        return self.rng.random() < self.links.drop_share

    def _copies(self, kind: str) -> int:
        if self.links.duplicate[kind]:
            self.links.duplicate[kind] -= 1
            return 2
        return 2 if self.rng.random() < self.links.duplicate_share else 1

    def _latency(self, process: Process, address: str) -> float:
        other = self.hosts.get(address)
        return SITE_LATENCY if other is not None and other.site == process.site else REMOTE_LATENCY

    def _deliver(self, address: str, raw: bytes) -> None:
        process = self.processes.get(address)
        if process is None:
            return
        envelope = decode(raw)
        assert isinstance(envelope, Envelope)

        def handle() -> None:
            self._perform(process, process.machine.handle(self.now, envelope))

        self._pass_input(process, handle)

    def undelivered(self, name: str, to: Incarnation, body: Body) -> None:
        """Report to a process that a message of it was certainly never sent."""
        process = self.processes[name]
        machine = process.machine
        if isinstance(machine, Entry):
            self._perform(process, machine.undelivered(to, body))
        else:
            self._perform(process, machine.undelivered(self.now, to, body))

    def _run_task(self, process: Process, start: Start) -> None:
        target = str(process.incarnation)
        key = (start.submission, start.index)
        self._record(Started(self.now, *key, target, SERVICE, process.site))
        seconds = self._task_seconds()
        if seconds > start.timeout:
            self.at(start.timeout, lambda: self._end_task(process, start, False))
            return
        ok = key not in self.fail_tasks
        self.at(seconds, lambda: self._end_task(process, start, ok))

    def _task_seconds(self) -> float:
        if self.rng.random() < self.shape.straggler_share:
            return self.shape.straggler_seconds
        return self.rng.uniform(*self.shape.task_seconds)

    def _end_task(self, process: Process, start: Start, ok: bool | None) -> None:
        key = (start.submission, start.index)
        self._record(Ended(self.now, *key, str(process.incarnation), bool(ok)))
        payload = b"" if ok is None else (start.payload if ok else b"broken")
        target = process.machine
        assert isinstance(target, Target)

        def end() -> None:
            self._perform(process, target.gate.finished(self.now, *key, ok, payload))

        self._pass_input(process, end)

    def _answer(self, job: Job, answer: Answer) -> None:
        outcome = answer.outcome
        kind = outcome_tag(outcome)
        job.answers.append(kind)
        job.answered_at.append(self.now)
        job.retry_after_ms = getattr(outcome, "retry_after_ms", 0)
        results = outcome.results if isinstance(outcome, Complete) else []
        right = not results or results == job.message.tasks
        self._record(Answered(self.now, job.submission, kind, len(results), right))

    def _record(self, event: Event) -> None:
        self.trace.append(event)
        self.checker.check_event(event)

    def _store_written(self, value: Value) -> None:
        for process in self.entries():
            self.at(
                STORE_DELAY,
                lambda p=process: self._pass_input(p, lambda: self._receive_value(p, value)),
            )

    def _read_store(self, process: Process) -> None:
        listing = self.store.list("")
        if not isinstance(listing, Listing):
            return
        for value in listing.values:
            self._receive_value(process, value)

    def store_up(self) -> None:
        """Restore the store; entries read it again."""
        self.store.down = False
        for process in self.entries():
            self._read_store(process)

    def _receive_value(self, process: Process, value: Value) -> None:
        entry = process.machine
        assert isinstance(entry, Entry)
        if self.store.down:
            return
        process.versions[value.key] = value.version
        if value.key == TABLE_KEY:
            document = msgspec.json.decode(value.data, type=TableDocument)
            self._perform(process, entry.table_from_store(self.now, document))
        elif value.key.startswith(ALLOTMENT_PREFIX):
            allotment = msgspec.json.decode(value.data, type=Allotment)
            self._perform(process, entry.receive_allotment(self.now, allotment))

    def _write(self, process: Process, allotment: Allotment) -> None:
        key = allotment_key(allotment.service, allotment.site)
        version = process.versions.get(key, ABSENT)
        self.store.compare_and_swap(key, msgspec.json.encode(allotment), version)

"""The target process: connects the worker to its local runner and to the entries."""

import asyncio
import os
from dataclasses import dataclass
from typing import final

from paddleshunt_core.events import Log
from paddleshunt_core.leased.bounds import Bounds, lease_times
from paddleshunt_core.leased.entrychoice import EntryChoice
from paddleshunt_core.leased.incarnations import HeartbeatClass
from paddleshunt_core.leased.linkpressure import PressureLevel
from paddleshunt_core.leased.orders import (
    PollAnswer,
    RunnerStatus,
    StartRun,
    StopRun,
    Supersede,
)
from paddleshunt_core.leased.refusals import Refusal
from paddleshunt_core.leased.runnercontrol import Effect
from paddleshunt_core.leased.runnerincarnation import RunnerIncarnation
from paddleshunt_core.leased.wire import Entries, EntryAddress, EntryChanges, Frame, Hello
from paddleshunt_core.leased.worker import Worker

from paddleshunt_node.aio import clock
from paddleshunt_node.aio.dialer import Dialer
from paddleshunt_node.aio.entryvalidation import valid_entries
from paddleshunt_node.aio.framing import PeerLink
from paddleshunt_node.aio.httpserver import Exchange, HttpServer, Response
from paddleshunt_node.aio.linkmeter import LinkMeter, MeteredConnection
from paddleshunt_node.aio.ports import (
    OtherIncarnation,
    RegistrationCodec,
    RunnerDeregistration,
    RunnerPort,
    StorePort,
    StoreUnavailableError,
    Superseded,
)
from paddleshunt_node.aio.process import OperatorPages, ProcessContext, serve_pages
from paddleshunt_node.aio.unconfirmed import UnconfirmedStatuses

POLL_RETRY_SECONDS = 0.08
"""Seconds before the next poll after one without an answer, or with one that is partly invalid."""

POLL_INTERVAL_SECONDS = 0.01
"""Seconds between two polls that return at once."""

FIRST_STORE_LOOKUP_SECONDS = 0.15
"""Seconds after the start at which the store is asked for entries if no seed has answered."""

STORE_LOOKUP_SECONDS = 2.0
"""Seconds between later checks; without a connected entry, each asks the store."""

END_MARGIN = 0.5
"""Seconds before SIGKILL at which the process exits, even if runs are left."""

STORE = ""
"""Name of the store as a source of entries' addresses."""

MISSED_HEARTBEATS = 1.2
"""Heartbeat intervals of silence after which the last heartbeat counts as unanswered."""

TIMER_MARGIN = 0.001
"""Seconds added to timers, as the event loop may fire them early by `clock.now`."""

DEREGISTRATION_HOLD_SECONDS = 0.5
"""Maximum seconds for which a runner's notice of its end is not acknowledged while runs end.

The runner waits a second for the acknowledgement, and ends with its runs when it receives it.
"""

DEREGISTRATION_CHECK_SECONDS = 0.01
"""Seconds between two checks whether these runs have ended."""

FINAL_FLUSH_SECONDS = 0.1
"""Seconds allowed for sending the last frames."""


@final
@dataclass(frozen=True, slots=True)
class TargetConfig:
    """Identity and listening addresses (host:port) of a target."""

    name: str
    hall: str
    address: str
    registration: str
    metrics: str
    seeds: tuple[str, ...]
    bounds: Bounds


@final
class TargetService:
    """Runs one target until the process is stopped."""

    def __init__(
        self,
        config: TargetConfig,
        codec: RegistrationCodec,
        runner: RunnerPort,
        store: StorePort,
        context: ProcessContext,
    ) -> None:
        self._config = config
        self._codec = codec
        self._runner = runner
        self._store = store
        self._context = context
        self._times = lease_times(config.bounds)
        self._incarnation = os.urandom(6).hex()
        self._worker = Worker(self._times, config.hall, config.bounds.cold_overrun)
        self._suspensions = clock.SuspensionDetector()
        self._meter = LinkMeter(
            context, self._connections, self._echo_age, self._times.normal_echo_age
        )
        self._entry_links: dict[str, PeerLink] = {}
        self._names_by_address: dict[str, str] = {}
        """Names of entries by address."""
        self._hello_sent_at: dict[PeerLink, float] = {}
        self._unconfirmed = UnconfirmedStatuses()
        """Statuses of incarnations other than the current one."""
        self._addressed_incarnation: RunnerIncarnation | None = None
        """The incarnation that orders and polls are addressed to."""
        self._applied_changes = 0
        """Number of changes of the incarnation that have been applied."""
        self._choice = EntryChoice(config.name, config.hall)
        self._dialer = Dialer(
            self, config.address, self._times.session, self._may_dial, self._dial_failed
        )
        self._dialer.set_seeds(set(config.seeds))
        self._loop: asyncio.AbstractEventLoop
        self._runner_polled = False
        self._flushing = False
        self._report_timer: asyncio.TimerHandle | None = None
        self._report_due_at = 0.0
        """When the timer fires."""

    async def run(self) -> None:
        """Serve until the process is asked to stop, then shut down gracefully."""
        await self._start()
        await self._context.stopping.wait()
        await self._leave()

    def describe(self) -> dict[str, object]:
        """Return the state for the dump page."""
        return {
            "name": self._config.name,
            "life": self._incarnation,
            "link": self._meter.describe(),
            **self._worker.describe(self._now()),
        }

    def reload(self, seeds: set[str]) -> None:
        """Replace the seed addresses."""
        self._dialer.set_seeds(seeds)

    async def _start(self) -> None:
        self._loop = asyncio.get_running_loop()
        registration = HttpServer(_RegistrationPage(self))
        await registration.start(self._config.registration)
        pages = OperatorPages(self._context.metrics, self.describe)
        await serve_pages(pages, self._config.metrics, self._context)
        self._add_gauges()
        self._meter.add_gauges()
        self._context.event(
            "started", role="target", node=self._config.name, life=self._incarnation
        )
        self._context.spawn(self._poll_forever())
        self._context.spawn(self._dialer.run())
        self._context.spawn(self._tick_forever())
        self._context.spawn(self._find_entries_forever())

    async def _leave(self) -> None:
        began = self._now()
        self._act(self._worker.leave(began))
        exit_at = began + self._config.bounds.grace - END_MARGIN
        while self._now() < exit_at and not self._worker.idle:
            await asyncio.sleep(0.02)
        self._flush(heartbeat=True)
        await asyncio.sleep(FINAL_FLUSH_SECONDS)
        self._context.cancel()
        self._context.event(
            "stopped", after_ms=round((self._now() - began) * 1000), runs=self._worker.runs
        )

    def _connections(self) -> list[MeteredConnection]:
        return list(self._entry_links.values())

    def _echo_age(self) -> float | None:
        return self._worker.echo_age(self._now())

    def _add_gauges(self) -> None:
        metrics = self._context.metrics
        metrics.gauge("paddleshunt_runs", "Runs at work.", lambda: self._worker.runs)
        metrics.gauge("paddleshunt_sessions", "Entries in session.", lambda: len(self._entry_links))

    def _now(self) -> float:
        now, suspended = self._suspensions.read()
        if suspended:
            self._act(self._worker.suspended(suspended))
        return now

    def register(self, exchange: Exchange) -> None:
        """Process a heartbeat or a deregistration of the runner."""
        parsed = self._codec.read(exchange.request)
        if isinstance(parsed, Response):
            exchange.respond(parsed)
            return
        if isinstance(parsed, RunnerDeregistration):
            self._deregister(self._now(), parsed)
            self._context.spawn(self._acknowledge_deregistration(exchange))
            return
        if not self._accept_status(parsed) and parsed.leaving:
            # The runner repeats a heartbeat that isn't acknowledged.
            exchange.respond(self._codec.decline())
            return
        exchange.respond(self._codec.acknowledge())

    def _accept_status(self, runner_status: RunnerStatus) -> bool:
        """Apply a status, or store it until it is confirmed; return whether it is kept."""
        is_unconfirmed = self._worker.classify(runner_status) is HeartbeatClass.UNCONFIRMED
        if is_unconfirmed or runner_status.runner in self._unconfirmed:
            self._unconfirmed.keep(runner_status)
        if is_unconfirmed:
            self._context.spawn(self._confirm(runner_status))
        else:
            self._apply_status(runner_status)
        return runner_status in (
            self._worker.runner_status,
            self._unconfirmed.newest(runner_status.runner),
        )

    def _apply_status(self, runner_status: RunnerStatus) -> None:
        """Apply a status of the runner's current incarnation."""
        is_new = self._worker.classify(runner_status) in (
            HeartbeatClass.NEW,
            HeartbeatClass.UNCONFIRMED,
        )
        if is_new or self._worker.runner_status is None:
            self._unconfirmed.clear()
            name = str(runner_status.runner)
            self._context.event("runner_found", runner=name, service=runner_status.service)
        self._act(self._worker.heartbeat_received(self._now(), runner_status))

    async def _confirm(self, runner_status: RunnerStatus) -> None:
        """Switch to another incarnation if the runner confirms that it is the current one.

        Otherwise the status is kept until the known incarnation has ended: it may be of the next
        one, which registers while the known one drains.
        """
        changes = self._applied_changes
        answer = await self._runner.is_current_incarnation(runner_status.runner)
        if changes != self._applied_changes:
            # The answer may precede the change; pending statuses have been asked about again.
            return
        runner_status = self._unconfirmed.newest(runner_status.runner) or runner_status
        event = {True: "life_confirmed", False: "life_denied", None: "life_unanswered"}[answer]
        self._context.event(event, runner=str(runner_status.runner))
        heartbeat_class = self._worker.classify(runner_status)
        if answer is False:
            self._worker.incarnation_denied(runner_status.runner)
        elif heartbeat_class in (HeartbeatClass.NEW, HeartbeatClass.CURRENT) or (
            answer and heartbeat_class is HeartbeatClass.UNCONFIRMED
        ):
            self._apply_status(runner_status)

    def _apply_incarnation_change(self) -> None:
        """Address calls to the current incarnation; if it has changed, confirm statuses again."""
        incarnation = self._worker.incarnation
        if self._applied_changes == self._worker.incarnation_changes:
            if incarnation is not None and incarnation != self._addressed_incarnation:
                self._addressed_incarnation = incarnation
                self._runner.refine_identity(incarnation)
            return
        self._applied_changes = self._worker.incarnation_changes
        self._addressed_incarnation = incarnation
        self._runner.expect(incarnation)
        for runner_status in self._unconfirmed.all():
            self._context.spawn(self._confirm(runner_status))

    def _deregister(self, now: float, deregistration: RunnerDeregistration) -> None:
        self._context.event("runner_left", runner=str(deregistration.runner))
        self._unconfirmed.drop(deregistration.runner)
        self._act(self._worker.runner_deregistered(now, deregistration.runner))

    async def _acknowledge_deregistration(self, exchange: Exchange) -> None:
        """Acknowledge a runner's notice of its end once its runs have ended, or after a while.

        Runs that end first can be placed elsewhere at once; otherwise their leases must expire.
        """
        acknowledge_by = self._now() + DEREGISTRATION_HOLD_SECONDS
        while not self._worker.idle and self._now() < acknowledge_by:
            await asyncio.sleep(DEREGISTRATION_CHECK_SECONDS)
        exchange.respond(self._codec.acknowledge())

    async def _poll_forever(self) -> None:
        failures = 0
        while True:
            poll = self._worker.next_poll(self._now())
            answer = await self._runner.poll(poll)
            now = self._now()
            if isinstance(answer, PollAnswer):
                failures = 0
                self._record_first_poll()
                self._act(self._worker.poll_answered(now, answer))
                # The runner answers at once while it lists an invalid end, which may be forever.
                if answer.partial:
                    await asyncio.sleep(POLL_RETRY_SECONDS)
                elif poll.wait == 0:
                    await asyncio.sleep(POLL_INTERVAL_SECONDS)
                continue
            if isinstance(answer, Superseded):
                continue
            self._act(
                self._worker.poll_failed(
                    now, other_incarnation=isinstance(answer, OtherIncarnation)
                )
            )
            # Retry the first failure at once: the lease needs renewal, and one answer may be lost.
            failures += 1
            if failures > 1:
                await asyncio.sleep(POLL_RETRY_SECONDS)

    def _record_first_poll(self) -> None:
        if not self._runner_polled:
            self._runner_polled = True
            self._context.event("runner_held")

    async def _start_run(self, order: StartRun) -> None:
        began = self._now()
        session_lease_left = self._worker.session_lease_left(began, order.entry)
        answer = await self._runner.start(order, lambda: self._may_send(order))
        now = self._now()
        self._context.metrics.stage("ordered", began - order.decided)
        self._context.metrics.stage("started", now - began)
        self._context.event(
            "run_ordered",
            job=str(order.run.task),
            run=order.run.number,
            answer=answer.value,
            after_ms=round((now - began) * 1000),
            decided_ms=round((began - order.decided) * 1000),
            entry=order.entry,
            session_left_ms=round(session_lease_left * 1000),
        )
        self._act(self._worker.start_answered(now, order.run, answer))

    def _may_send(self, order: StartRun) -> bool:
        return self._worker.may_send(self._now(), order.run, order.entry)

    async def _stop_run(self, order: StopRun) -> None:
        done = await self._runner.stop(order)
        self._act(self._worker.stop_answered(self._now(), order.run, done=done))

    def _act(self, effects: list[Effect]) -> None:
        self._apply_incarnation_change()
        for effect in effects:
            match effect:
                case StartRun():
                    self._context.spawn(self._start_run(effect))
                case StopRun():
                    self._context.spawn(self._stop_run(effect))
                case Supersede():
                    self._runner.supersede()
                case Log():
                    self._log(effect)
        self._flush_soon()

    def _log(self, log: Log) -> None:
        self._context.log(log)
        self._context.metrics.event(log.event)
        if log.event == "run_ended":
            self._context.metrics.ended(str(log.fields["end"]))

    def connection_opened(self, link: PeerLink) -> None:
        """Send a hello to an entry that was dialled."""
        name = self._names_by_address.get(self._dialer.address_of(link), "")
        if not self._may_open_session(name):
            link.close()
            return
        session = self._worker.session(name)
        number, received = (session.number, session.received) if session else (0, 0)
        config = self._config
        self._hello_sent_at[link] = self._now()
        link.send(
            Hello(
                config.name, self._incarnation, False, config.hall, config.address, number, received
            )
        )

    def hello_received(self, link: PeerLink, hello: Hello) -> None:
        """Open or resume the session that an entry's hello names."""
        now = self._now()
        self._names_by_address[self._dialer.address_of(link)] = hello.name
        sent_at = self._hello_sent_at.pop(link, now)
        if not hello.session:
            self._act(self._worker.session_refused(now, hello.name))
            link.close()
            return
        self._act(self._worker.greeting_answered(now, hello, sent_at))
        session = self._worker.session(hello.name)
        if session is None or session.number != hello.session:
            link.close()
            return
        self._entry_links[hello.name] = link
        self._flush(heartbeat=True)

    def frame_received(self, link: PeerLink, frame: Frame) -> None:
        """Process a frame of an entry."""
        if self._entry_links.get(link.peer) is not link:
            return
        now = self._now()
        for body in frame.bodies:
            if isinstance(body, Entries):
                entries = valid_entries(body.entries, link.peer, self._context.refuse)
                self._choice.replace_known(link.peer, entries)
                self._dial_entries(now, entries)
            elif isinstance(body, EntryChanges):
                joined = valid_entries(body.joined, link.peer, self._context.refuse)
                self._choice.update_known(link.peer, joined, body.gone)
                self._dial_entries(now, joined)
        self._act(self._worker.frame_received(now, link.peer, frame))
        if self._worker.session(link.peer) is None:
            link.close()

    def message_refused(self, link: PeerLink, refusal: Refusal) -> None:
        """Count and log an invalid message."""
        self._context.refuse(refusal)

    def connection_closed(self, link: PeerLink) -> None:
        """Record that a connection has ended; its session can be resumed for a while."""
        self._hello_sent_at.pop(link, None)
        if link.peer and self._entry_links.get(link.peer) is link:
            del self._entry_links[link.peer]
            self._dialer.redial(link)

    def _dial_entries(self, now: float, entries: list[EntryAddress]) -> None:
        for entry in entries:
            self._names_by_address[entry.address] = entry.name
            self._dialer.add(now, entry.address)

    def _may_dial(self, address: str) -> bool:
        name = self._names_by_address.get(address, "")
        if not self._may_open_session(name):
            return False
        if not self._entry_links:
            return True
        if not name:
            return not self._choice.has_entries()
        return any(entry.name == name for entry in self._wanted_entries())

    def _dial_failed(self, address: str) -> None:
        name = self._names_by_address.get(address)
        if name is not None:
            self._choice.suspect(self._now(), name)

    def _wanted_entries(self) -> list[EntryAddress]:
        return self._choice.wanted(self._now(), set(self._entry_links))

    def _close_surplus_sessions(self, now: float) -> None:
        """Close sessions beyond those to be kept, once the preferred ones are open.

        An idle session without a connection doesn't count as open: its entry may have exited.
        """
        open_now = (
            self._worker.session_names() & self._entry_links.keys() | self._worker.held_names()
        )
        self._act(self._worker.retire(now, self._choice.sessions_to_keep(open_now)))

    def _may_open_session(self, name: str) -> bool:
        return self._worker.session(name) is not None or self._worker.may_open(name)

    async def _find_entries_forever(self) -> None:
        """Ask the store for entries while none is connected, until cancelled."""
        pause = FIRST_STORE_LOOKUP_SECONDS
        while True:
            await asyncio.sleep(pause)
            pause = STORE_LOOKUP_SECONDS
            if not self._entry_links:
                await self._dial_stored_entries()

    async def _dial_stored_entries(self) -> None:
        """Dial those of the store's entries that this target needs sessions with."""
        try:
            entries = await self._store.entries()
        except StoreUnavailableError as problem:
            self._context.event("store_unavailable", reason=str(problem))
            return
        self._choice.replace_known(STORE, entries)
        self._names_by_address.update({entry.address: entry.name for entry in entries})
        now = self._now()
        for entry in self._wanted_entries():
            self._dialer.add(now, entry.address)

    async def _tick_forever(self) -> None:
        due = self._now()
        while True:
            now = self._now()
            self._meter.sample_when_due(now)
            self._worker.network_overloaded = self._meter.pressure.level is not PressureLevel.NORMAL
            self._act(self._worker.tick(now))
            self._close_surplus_sessions(now)
            self._dialer.refresh(now, [entry.address for entry in self._wanted_entries()])
            self._close_silent(now)
            self._flush(heartbeat=True)
            now = self._now()
            due = max(due + self._times.heartbeat, now)
            await asyncio.sleep(due - now)

    def _close_silent(self, now: float) -> None:
        """Close connections whose session has expired, or that are silent.

        A silent connection is replaced while its session can still be resumed over a new one.
        """
        held = self._worker.held_names()
        any_silent = False
        for name, link in list(self._entry_links.items()):
            silent = self._worker.seconds_silent(now, name)
            if silent > (self._times.session if name in held else self._times.idle_session):
                self._choice.suspect(now, name)
            if self._worker.is_silent(now, name):
                link.close()
                any_silent = True
            elif name in held and silent > MISSED_HEARTBEATS * self._times.heartbeat:
                # The next tick may come too late to resume the session.
                due_in = self._times.reconnect_after - silent + TIMER_MARGIN
                self._loop.call_later(due_in, lambda: self._close_silent(self._now()))
        if any_silent:
            self._worker.probe()
        for link, sent_at in list(self._hello_sent_at.items()):
            if now > sent_at + self._times.session:
                self._dial_failed(self._dialer.address_of(link))
                link.close()

    def _flush_soon(self) -> None:
        if not self._flushing:
            self._flushing = True
            self._loop.call_soon(self._flush)

    def _schedule_report_flush(self, due: float) -> None:
        timer = self._report_timer
        if timer is not None:
            if self._report_due_at <= due:
                return
            timer.cancel()
        self._report_due_at = due
        self._report_timer = self._loop.call_later(due - self._now(), self._flush_reports)

    def _flush_reports(self) -> None:
        self._report_timer = None
        self._flush()

    def _flush(self, *, heartbeat: bool = False) -> None:
        self._flushing = False
        now = self._now()
        next_report = self._worker.prepare_frames(now)
        if next_report is not None:
            self._schedule_report_flush(next_report)
        for name, link in self._entry_links.items():
            frame = self._worker.next_frame(now, name, heartbeat_allowed=heartbeat)
            if frame is not None:
                link.send(frame)


@final
class _RegistrationPage:
    def __init__(self, service: TargetService) -> None:
        self._service = service

    def handle(self, exchange: Exchange) -> None:
        self._service.register(exchange)

    def abandoned(self, exchange: Exchange) -> None:
        pass

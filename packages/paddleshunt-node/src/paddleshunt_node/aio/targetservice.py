"""The target process: the runner beside it and the entries around the worker."""

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
from paddleshunt_node.aio.claims import Claims
from paddleshunt_node.aio.dialer import Dialer
from paddleshunt_node.aio.framing import PeerLink
from paddleshunt_node.aio.httpserver import Exchange, HttpServer, Response
from paddleshunt_node.aio.linkmeter import LinkMeter, Metered
from paddleshunt_node.aio.peerwords import readable
from paddleshunt_node.aio.ports import (
    OtherLife,
    RegistrationCodec,
    RunnerEnds,
    RunnerPort,
    StorePort,
    StoreUnavailableError,
    Superseded,
)
from paddleshunt_node.aio.process import OperatorPages, Surroundings, serve_pages

LOOK_PAUSE = 0.08
"""Seconds before the next look after one that got no answer, or one that can't be read in full."""

SHORT_PAUSE = 0.01
"""Seconds between two looks that don't wait."""

FIRST_LONELY_SECONDS = 0.15
"""Seconds after the start by which a seed has usually answered; the store is asked otherwise."""

LONELY_SECONDS = 2.0
"""Seconds between two later looks whether no session is left and the store is to be asked."""

END_MARGIN = 0.5
"""Seconds before SIGKILL at which the process ends, whatever runs."""

STORE = ""
"""The store's name among the entries that tell of others."""

MISSED_HEARTBEATS = 1.2
"""Heartbeats without a word, when the next one is due, that show that the last had no answer."""

TIMER_MARGIN = 0.001
"""Seconds that a timer may be early by the clock that it is checked with."""

LAST_WORDS = 0.1
"""Seconds for the last frames to leave."""


@final
@dataclass(frozen=True, slots=True)
class TargetConfig:
    """Who a target is and where it listens; addresses are host:port."""

    name: str
    hall: str
    address: str
    registration: str
    metrics: str
    seeds: tuple[str, ...]
    bounds: Bounds


@final
class TargetService:
    """One target."""

    def __init__(
        self,
        config: TargetConfig,
        codec: RegistrationCodec,
        runner: RunnerPort,
        store: StorePort,
        surroundings: Surroundings,
    ) -> None:
        self._config = config
        self._codec = codec
        self._runner = runner
        self._store = store
        self._around = surroundings
        self._times = lease_times(config.bounds)
        self._life = os.urandom(6).hex()
        self._worker = Worker(self._times, config.hall, config.bounds.cold_overrun)
        self._suspensions = clock.Suspensions()
        self._meter = LinkMeter(
            surroundings, self._connections, self._echo_age, self._times.usual_echo
        )
        self._links: dict[str, PeerLink] = {}
        self._names: dict[str, str] = {}
        """Entries by the address at which they were met."""
        self._said: dict[PeerLink, float] = {}
        self._claims = Claims()
        """Accounts of other lives than the known one."""
        self._life_meant: RunnerIncarnation | None = None
        """The life that orders and looks are meant for."""
        self._changes = 0
        """How often that has become another life, or none."""
        self._choice = EntryChoice(config.name, config.hall)
        self._dialer = Dialer(
            self, config.address, self._times.session, self._may_dial, self._dial_failed
        )
        self._dialer.seeds(set(config.seeds))
        self._loop: asyncio.AbstractEventLoop
        self._looked = False
        self._flushing = False
        self._report_timer: asyncio.TimerHandle | None = None
        self._report_due = 0.0
        """When the timer goes off."""

    # The process.

    async def run(self) -> None:
        """Serve until told to stop, then leave."""
        await self._start()
        await self._around.stopping.wait()
        await self._leave()

    def describe(self) -> dict[str, object]:
        """Return a dump of the state."""
        return {
            "name": self._config.name,
            "life": self._life,
            "link": self._meter.describe(),
            **self._worker.describe(self._now()),
        }

    def reload(self, seeds: set[str]) -> None:
        """Adopt new settings."""
        self._dialer.seeds(seeds)

    async def _start(self) -> None:
        self._loop = asyncio.get_running_loop()
        registration = HttpServer(_Registration(self))
        await registration.start(self._config.registration)
        pages = OperatorPages(self._around.measures, self.describe)
        await serve_pages(pages, self._config.metrics, self._around)
        self._gauges()
        self._meter.show()
        self._around.event("started", role="target", node=self._config.name, life=self._life)
        self._around.spawn(self._look_for_ever())
        self._around.spawn(self._dialer.run())
        self._around.spawn(self._tick_for_ever())
        self._around.spawn(self._find_entries())

    async def _leave(self) -> None:
        began = self._now()
        self._act(self._worker.leave(began))
        last = began + self._config.bounds.grace - END_MARGIN
        while self._now() < last and not self._worker.idle:
            await asyncio.sleep(0.02)
        self._flush(heartbeat=True)
        await asyncio.sleep(LAST_WORDS)
        self._around.cancel()
        self._around.event(
            "stopped", after_ms=round((self._now() - began) * 1000), runs=self._worker.runs
        )

    def _connections(self) -> list[Metered]:
        return list(self._links.values())

    def _echo_age(self) -> float | None:
        return self._worker.echo_age(self._now())

    def _gauges(self) -> None:
        measures = self._around.measures
        measures.gauge("paddleshunt_runs", "Runs at work.", lambda: self._worker.runs)
        measures.gauge("paddleshunt_sessions", "Entries in session.", lambda: len(self._links))

    def _now(self) -> float:
        now, suspended = self._suspensions.read()
        if suspended:
            self._act(self._worker.suspended(suspended))
        return now

    # The runner.

    def register(self, exchange: Exchange) -> None:
        """Take what the runner says of itself."""
        read = self._codec.read(exchange.request)
        if isinstance(read, Response):
            exchange.respond(read)
            return
        if isinstance(read, RunnerEnds):
            self._runner_ends(self._now(), read)
        elif not self._take_account(read) and read.leaving:
            # An acknowledgement would bind: without one the runner says it again.
            exchange.respond(self._codec.pass_over())
            return
        exchange.respond(self._codec.acknowledge())

    def _take_account(self, runner_status: RunnerStatus) -> bool:
        """Follow an account, or keep it with a claim; return whether either was done."""
        is_claim = self._worker.classify(runner_status) is HeartbeatClass.UNCONFIRMED
        if is_claim or runner_status.runner in self._claims:
            self._claims.keep(runner_status)
        if is_claim:
            self._around.spawn(self._confirm(runner_status))
        else:
            self._follow(runner_status)
        return runner_status in (
            self._worker.runner_status,
            self._claims.newest(runner_status.runner),
        )

    def _follow(self, runner_status: RunnerStatus) -> None:
        """Follow the runner's account of itself."""
        is_new = self._worker.classify(runner_status) in (
            HeartbeatClass.NEW,
            HeartbeatClass.UNCONFIRMED,
        )
        if is_new or self._worker.runner_status is None:
            self._claims.clear()
            name = str(runner_status.runner)
            self._around.event("runner_found", runner=name, service=runner_status.service)
        self._act(self._worker.heartbeat_received(self._now(), runner_status))

    async def _confirm(self, runner_status: RunnerStatus) -> None:
        """Follow another life than the known one if the runner says that it is this one.

        Without an answer, or if it is denied, the claim stays until the known life is found to have
        ended: it may be the next one, which registers while this one drains.
        """
        changes = self._changes
        answer = await self._runner.lives(runner_status.runner)
        if changes != self._changes:
            # It may be of before that change; a claim that stands has been asked about again.
            return
        runner_status = self._claims.newest(runner_status.runner) or runner_status
        event = {True: "life_confirmed", False: "life_denied", None: "life_unanswered"}[answer]
        self._around.event(event, runner=str(runner_status.runner))
        claim = self._worker.classify(runner_status)
        if answer is False:
            self._worker.incarnation_denied(runner_status.runner)
        elif claim in (HeartbeatClass.NEW, HeartbeatClass.CURRENT) or (
            answer and claim is HeartbeatClass.UNCONFIRMED
        ):
            self._follow(runner_status)

    def _meet_life(self) -> None:
        """Mean the life that is followed now, if it is another one; ask again about claims."""
        incarnation = self._worker.incarnation
        if self._changes == self._worker.incarnation_changes:
            if incarnation is not None and incarnation != self._life_meant:
                self._life_meant = incarnation
                self._runner.rename(incarnation)
            return
        self._changes = self._worker.incarnation_changes
        self._life_meant = incarnation
        self._runner.expect(incarnation)
        for runner_status in self._claims.all():
            self._around.spawn(self._confirm(runner_status))

    def _runner_ends(self, now: float, ends: RunnerEnds) -> None:
        self._around.event("runner_left", runner=str(ends.runner))
        self._claims.drop(ends.runner)
        self._act(self._worker.runner_deregistered(now, ends.runner))

    async def _look_for_ever(self) -> None:
        failures = 0
        while True:
            look = self._worker.next_poll(self._now())
            answer = await self._runner.look(look)
            now = self._now()
            if isinstance(answer, PollAnswer):
                failures = 0
                self._note_first_look()
                self._act(self._worker.poll_answered(now, answer))
                # The runner doesn't wait either while an end that can't be read is listed, which
                # may be for good.
                if answer.partial:
                    await asyncio.sleep(LOOK_PAUSE)
                elif look.wait == 0:
                    await asyncio.sleep(SHORT_PAUSE)
                continue
            if isinstance(answer, Superseded):
                continue
            self._act(
                self._worker.poll_failed(now, other_incarnation=isinstance(answer, OtherLife))
            )
            # The first failure may be one lost answer, and the lease is running: look at once.
            failures += 1
            if failures > 1:
                await asyncio.sleep(LOOK_PAUSE)

    def _note_first_look(self) -> None:
        if not self._looked:
            self._looked = True
            self._around.event("runner_held")

    async def _start_run(self, order: StartRun) -> None:
        began = self._now()
        session_left = self._worker.session_left(began, order.entry)
        answer = await self._runner.start(order, lambda: self._may_send(order))
        now = self._now()
        self._around.measures.stage("ordered", began - order.decided)
        self._around.measures.stage("started", now - began)
        self._around.event(
            "run_ordered",
            job=str(order.run.task),
            run=order.run.number,
            answer=answer.value,
            after_ms=round((now - began) * 1000),
            decided_ms=round((began - order.decided) * 1000),
            entry=order.entry,
            session_left_ms=round(session_left * 1000),
        )
        self._act(self._worker.start_answered(now, order.run, answer))

    def _may_send(self, order: StartRun) -> bool:
        return self._worker.may_send(self._now(), order.run, order.entry)

    async def _stop_run(self, order: StopRun) -> None:
        done = await self._runner.stop(order)
        self._act(self._worker.stop_answered(self._now(), order.run, done=done))

    def _act(self, effects: list[Effect]) -> None:
        self._meet_life()
        for effect in effects:
            match effect:
                case StartRun():
                    self._around.spawn(self._start_run(effect))
                case StopRun():
                    self._around.spawn(self._stop_run(effect))
                case Supersede():
                    self._runner.supersede()
                case Log():
                    self._log(effect)
        self._flush_soon()

    def _log(self, log: Log) -> None:
        self._around.log(log)
        self._around.measures.event(log.event)
        if log.event == "run_ended":
            self._around.measures.ended(str(log.fields["end"]))

    # Entries.

    def opened(self, link: PeerLink) -> None:
        """Greet an entry that was dialled."""
        name = self._names.get(self._dialer.address_of(link), "")
        if not self._may_greet(name):
            link.close()
            return
        session = self._worker.session(name)
        number, received = (session.number, session.received) if session else (0, 0)
        config = self._config
        self._said[link] = self._now()
        link.send(
            Hello(config.name, self._life, False, config.hall, config.address, number, received)
        )

    def greeted(self, link: PeerLink, hello: Hello) -> None:
        """Take an entry's greeting."""
        now = self._now()
        self._names[self._dialer.address_of(link)] = hello.name
        said = self._said.pop(link, now)
        if not hello.session:
            self._act(self._worker.session_refused(now, hello.name))
            link.close()
            return
        self._act(self._worker.greeting_answered(now, hello, said))
        session = self._worker.session(hello.name)
        if session is None or session.number != hello.session:
            link.close()
            return
        self._links[hello.name] = link
        self._flush(heartbeat=True)

    def heard(self, link: PeerLink, frame: Frame) -> None:
        """Take a frame of an entry."""
        if self._links.get(link.peer) is not link:
            return
        now = self._now()
        for body in frame.bodies:
            if isinstance(body, Entries):
                entries = readable(body.entries, link.peer, self._around.refuse)
                self._choice.told(link.peer, entries)
                self._note_addresses(now, entries)
            elif isinstance(body, EntryChanges):
                joined = readable(body.joined, link.peer, self._around.refuse)
                self._choice.changed(link.peer, joined, body.gone)
                self._note_addresses(now, joined)
        self._act(self._worker.frame_received(now, link.peer, frame))
        if self._worker.session(link.peer) is None:
            link.close()

    def refused(self, link: PeerLink, refusal: Refusal) -> None:
        """Take note of a message that can't be read."""
        self._around.refuse(refusal)

    def closed(self, link: PeerLink) -> None:
        """Take the end of a connection; its session goes on for a while."""
        self._said.pop(link, None)
        if link.peer and self._links.get(link.peer) is link:
            del self._links[link.peer]
            self._dialer.lost(link)

    def _note_addresses(self, now: float, entries: list[EntryAddress]) -> None:
        for entry in entries:
            self._names[entry.address] = entry.name
            self._dialer.want(now, entry.address)

    def _may_dial(self, address: str) -> bool:
        name = self._names.get(address, "")
        if not self._may_greet(name):
            return False
        if not self._links:
            return True
        if not name:
            return not self._choice.knows()
        return any(entry.name == name for entry in self._wanted())

    def _dial_failed(self, address: str) -> None:
        name = self._names.get(address)
        if name is not None:
            self._choice.suspect(self._now(), name)

    def _wanted(self) -> list[EntryAddress]:
        return self._choice.wanted(self._now(), set(self._links))

    def _retire(self, now: float) -> None:
        """Give up sessions beyond those to be kept: the better ones are open.

        An idle one without a connection is no better one: its entry may have ended.
        """
        open_now = self._worker.session_names() & self._links.keys() | self._worker.held_names()
        self._act(self._worker.retire(now, self._choice.kept(open_now)))

    def _may_greet(self, name: str) -> bool:
        return self._worker.session(name) is not None or self._worker.may_open(name)

    async def _find_entries(self) -> None:
        """Ask the store for entries when none has been met for a while."""
        pause = FIRST_LONELY_SECONDS
        while True:
            await asyncio.sleep(pause)
            pause = LONELY_SECONDS
            if not self._links:
                await self._ask_for_entries()

    async def _ask_for_entries(self) -> None:
        """Dial those of the announced entries that this target is to have sessions with."""
        try:
            entries = await self._store.entries()
        except StoreUnavailableError as problem:
            self._around.event("store_unavailable", reason=str(problem))
            return
        self._choice.told(STORE, entries)
        self._names.update({entry.address: entry.name for entry in entries})
        now = self._now()
        for entry in self._wanted():
            self._dialer.want(now, entry.address)

    # Time and sending.

    async def _tick_for_ever(self) -> None:
        due = self._now()
        while True:
            now = self._now()
            self._meter.sample_when_due(now)
            self._worker.sheds = self._meter.pressure.level is not PressureLevel.NORMAL
            self._act(self._worker.tick(now))
            self._retire(now)
            self._dialer.keep(now, [entry.address for entry in self._wanted()])
            self._close_silent(now)
            self._flush(heartbeat=True)
            now = self._now()
            due = max(due + self._times.heartbeat, now)
            await asyncio.sleep(due - now)

    def _close_silent(self, now: float) -> None:
        """Break off connections whose session is over, or that say nothing.

        A connection may have fallen silent for good while a new one works, so it is made anew while
        the session can still go on over it.
        """
        held = self._worker.held_names()
        fallen_silent = False
        for name, link in list(self._links.items()):
            silent = self._worker.seconds_silent(now, name)
            if silent > (self._times.session if name in held else self._times.idle_session):
                self._choice.suspect(now, name)
            if self._worker.is_silent(now, name):
                link.close()
                fallen_silent = True
            elif name in held and silent > MISSED_HEARTBEATS * self._times.heartbeat:
                # The next tick may come too late for the session to go on.
                due_in = self._times.redial - silent + TIMER_MARGIN
                self._loop.call_later(due_in, lambda: self._close_silent(self._now()))
        if fallen_silent:
            self._worker.probe()
        for link, said in list(self._said.items()):
            if now > said + self._times.session:
                self._dial_failed(self._dialer.address_of(link))
                link.close()

    def _flush_soon(self) -> None:
        if not self._flushing:
            self._flushing = True
            self._loop.call_soon(self._flush)

    def _flush_reports_at(self, due: float) -> None:
        timer = self._report_timer
        if timer is not None:
            if self._report_due <= due:
                return
            timer.cancel()
        self._report_due = due
        self._report_timer = self._loop.call_later(due - self._now(), self._flush_reports)

    def _flush_reports(self) -> None:
        self._report_timer = None
        self._flush()

    def _flush(self, *, heartbeat: bool = False) -> None:
        self._flushing = False
        now = self._now()
        next_report = self._worker.prepare_frames(now)
        if next_report is not None:
            self._flush_reports_at(next_report)
        for name, link in self._links.items():
            frame = self._worker.next_frame(now, name, beat=heartbeat)
            if frame is not None:
                link.send(frame)


@final
class _Registration:
    def __init__(self, service: TargetService) -> None:
        self._service = service

    def handle(self, exchange: Exchange) -> None:
        self._service.register(exchange)

    def abandoned(self, exchange: Exchange) -> None:
        pass

"""The entry process: connects the dispatcher to callers, targets, other entries and the store."""

import asyncio
import os
from dataclasses import dataclass, replace
from random import Random
from typing import final

from paddleshunt_core.events import Log
from paddleshunt_core.leased.bounds import Bounds, lease_times
from paddleshunt_core.leased.catalog import EMPTY_CATALOG, Catalog
from paddleshunt_core.leased.catalogsync import LINK_MBPS
from paddleshunt_core.leased.dispatcher import Dispatcher, Effect
from paddleshunt_core.leased.evacuation import EvacuatedHalls, Evacuations
from paddleshunt_core.leased.linkpressure import PressureLevel
from paddleshunt_core.leased.outcomes import AnswerJob, BroadcastLoss, Completed, Refused
from paddleshunt_core.leased.readiness import Readiness
from paddleshunt_core.leased.refusals import Refusal
from paddleshunt_core.leased.session import Session
from paddleshunt_core.leased.speeds import Speeds
from paddleshunt_core.leased.wire import (
    CancelledJob,
    Entries,
    EntryAddress,
    EntryChanges,
    Frame,
    Hello,
    LossUpdate,
    SpeedUpdate,
)

from paddleshunt_node.aio import clock
from paddleshunt_node.aio.cancelling import CancellationHandler
from paddleshunt_node.aio.earlyrequests import EarlyRequests
from paddleshunt_node.aio.entrygauges import add_entry_gauges
from paddleshunt_node.aio.entrypeers import EntryPeers
from paddleshunt_node.aio.framing import PeerLink
from paddleshunt_node.aio.httpserver import Exchange, HttpServer, Response
from paddleshunt_node.aio.linkmeter import LinkMeter, MeteredConnection
from paddleshunt_node.aio.loop import call_after_pending_io
from paddleshunt_node.aio.ports import (
    CallerCodec,
    Cancellation,
    StateRequest,
    StorePort,
    Submission,
)
from paddleshunt_node.aio.process import OperatorPages, ProcessContext, serve_pages
from paddleshunt_node.aio.sockets import serve
from paddleshunt_node.aio.storefollower import StoreFollower

READY_WITHOUT_TARGETS_SECONDS = 3.0
"""Seconds after the start from which an entry is ready even without a target."""

BALANCER_DELAY_SECONDS = 2.3
"""Seconds that the load balancer may take to react to a failing readiness check."""

SHUTDOWN_CHECK_SECONDS = 0.02
"""Seconds between two checks whether a stopping entry may exit."""

END_MARGIN = 0.8
"""Seconds before SIGKILL at which all remaining jobs are answered."""

TIMER_MARGIN = 0.0005
"""Seconds added to timers, as the event loop may fire them early by `clock.now`."""

RETRY_AFTER = "Retry-After"

ALTERNATIVE_ENTRY_SECONDS = 10.0
"""Seconds after another entry's last message during which callers are sent to it; well above the
gossip interval, as an overloaded link delays gossip too."""

OVERLOAD_RETRY_SECONDS = 1.0
"""Seconds in `Retry-After` while the link is overloaded, so that callers that are turned away don't
overload the other entries at once."""


@final
@dataclass(frozen=True, slots=True)
class EntryConfig:
    """Identity and listening addresses (host:port) of an entry.

    `link_mbps` is the bandwidth of its host's link, in megabits a second.
    """

    name: str
    hall: str
    callers: str
    ready: str
    peers: str
    metrics: str
    seeds: tuple[str, ...]
    bounds: Bounds
    link_mbps: float = LINK_MBPS


@final
class EntryService:
    """Runs one entry until the process is stopped."""

    def __init__(
        self,
        config: EntryConfig,
        codec: CallerCodec,
        store: StorePort,
        context: ProcessContext,
    ) -> None:
        self._config = config
        self._codec = codec
        self._context = context
        self._times = lease_times(config.bounds)
        self._incarnation = os.urandom(6).hex()
        bounds = config.bounds
        self._dispatcher = Dispatcher(
            self._times,
            config.hall,
            Random(),
            bounds.remote_factor,
            bounds.caller_delay,
            cold_overrun=bounds.cold_overrun,
            hall_preference=bounds.hall_preference,
        )
        self.catalog: Catalog = EMPTY_CATALOG
        self._exchanges: dict[int, Exchange] = {}
        self._caller_server = HttpServer(self)
        self._early_requests = EarlyRequests(_unconfigured)
        self._target_links: dict[str, PeerLink] = {}
        self._replies_due: set[str] = set()
        """Names of targets that get a frame with the next flush even if no message is pending."""
        own = EntryAddress(config.name, config.peers, self._incarnation, config.hall)
        hello, ack_timeout = self._hello(0, 0), self._times.session
        self._peers = EntryPeers(self, own, hello, ack_timeout, config.link_mbps)
        self._peers.set_seeds(set(config.seeds))
        self._cancellations = CancellationHandler(
            self._dispatcher, self._peers, codec, context, self._act
        )
        self._store_follower = StoreFollower(store, context, own, self)
        self._meter = LinkMeter(
            context,
            self._connections,
            lambda: self._dispatcher.echo_age(self._now()),
            self._times.normal_echo_age,
        )
        self._loop: asyncio.AbstractEventLoop
        self._flushing = False
        self._confirmation_timer: asyncio.TimerHandle | None = None
        self._leaving = False
        self._started_at = self._now()
        self._readiness = Readiness()
        self._unready_since = float("inf")
        """When the readiness check began to fail as the link was overloaded; infinite otherwise."""

    async def run(self) -> None:
        """Serve until the process is asked to stop, then shut down gracefully."""
        await self._start()
        await self._context.stopping.wait()
        await self._leave()

    def describe(self) -> dict[str, object]:
        """Return the state for the dump page."""
        state = self._dispatcher.describe(self._now())
        if self._peers.network_overloaded:
            # The targets are by far the largest part of the dump.
            state["targets"] = "omitted while the link is overloaded"
        return {
            "name": self._config.name,
            "life": self._incarnation,
            "catalog_version": self.catalog.version,
            "leaving": self._leaving,
            "entries": self._peers.names(),
            "link": self._meter.describe(),
            **state,
        }

    async def _start(self) -> None:
        self._loop = asyncio.get_running_loop()
        await self._caller_server.start(self._config.callers)
        await HttpServer(_ReadinessPage(self)).start(self._config.ready)
        await serve(
            lambda: PeerLink(self._incoming_handler, self._times.session), self._config.peers
        )
        pages = OperatorPages(self._context.metrics, self.describe)
        await serve_pages(pages, self._config.metrics, self._context)
        add_entry_gauges(
            self._context.metrics,
            self._dispatcher,
            lambda: self.catalog.version,
            lambda: len(self._target_links),
        )
        self._meter.add_gauges()
        self._context.event("started", role="entry", node=self._config.name, life=self._incarnation)
        self._context.spawn(self._peers.dial_forever())
        self._context.spawn(self._tick_forever())
        self._context.spawn(self._peers.gossip_forever())
        self._context.spawn(self._store_follower.follow())
        self._context.spawn(self._store_follower.announce())

    async def _leave(self) -> None:
        began = self._now()
        self._leaving = True
        self._caller_server.closing = True
        self._context.event("leaving", jobs=self._dispatcher.job_count)
        self._context.spawn(self._store_follower.withdraw())
        answer_by = began + self._config.bounds.grace - END_MARGIN
        self._dispatcher.leave(answer_by)
        balancer_noticed_at = min(began + BALANCER_DELAY_SECONDS, answer_by)
        while self._now() < balancer_noticed_at:
            await asyncio.sleep(SHUTDOWN_CHECK_SECONDS)
        # The balancer sends no new connections now; callers may still use keep-alive ones.
        self._caller_server.close_idle()
        while self._now() < answer_by and (self._dispatcher.job_count or self._cancellations):
            await asyncio.sleep(SHUTDOWN_CHECK_SECONDS)
        self._act(self._dispatcher.finish(self._now()))
        self._cancellations.finish()
        self._flush()
        self._caller_server.stop_listening()
        self._caller_server.close_idle()
        await asyncio.sleep(0.05)
        self._context.cancel()
        self._context.event("stopped", after_ms=round((self._now() - began) * 1000))

    def reload(self, seeds: set[str]) -> None:
        """Replace the seed addresses."""
        self._peers.set_seeds(seeds)

    def _now(self) -> float:
        return clock.now()

    @property
    def is_ready(self) -> bool:
        """Whether the balancer may send new connections to this entry."""
        if self.catalog.version == 0 or self._leaving:
            return False
        if self._rejects_connections(self._now()):
            return False
        if self._readiness.should_be_unready(self._now()):
            return False
        return (
            bool(self._target_links)
            or self._now() > self._started_at + READY_WITHOUT_TARGETS_SECONDS
        )

    def handle(self, exchange: Exchange) -> None:
        """Process a caller's request, or hold it until the first configuration is known."""
        if self.catalog.version == 0:
            # A held request might not be answered before a stopping process exits.
            if self._leaving:
                exchange.respond(_unconfigured())
            else:
                self._early_requests.hold(exchange)
            return
        self._process(exchange, 0.0)

    def _process(self, exchange: Exchange, waited: float) -> None:
        """Process a request that arrived `waited` seconds ago."""
        parsed = self._codec.read(exchange.request, self.catalog)
        match parsed:
            case Response():
                exchange.respond(parsed)
            case Submission():
                self._submit(exchange, parsed, waited)
            case Cancellation():
                self._cancellations.handle(exchange, parsed.key)
            case StateRequest():
                state = self._dispatcher.job_state(parsed.key)
                exchange.respond(self._codec.answer_state(state))

    def _submit(self, exchange: Exchange, submission: Submission, waited: float) -> None:
        self._exchanges[exchange.number] = exchange
        job = submission.job
        if waited:
            job = replace(job, deadline=max(0.0, job.deadline - waited))
        self._act(self._dispatcher.submit(self._now(), exchange.number, job, submission.queue))
        self._loop.call_later(self._config.bounds.caller_delay + TIMER_MARGIN, self._place_soon)

    def _place_soon(self) -> None:
        """Place newly arrived jobs, once pending disconnects of callers are handled."""
        call_after_pending_io(
            self._loop, lambda: self._act(self._dispatcher.place_new_jobs(self._now()))
        )

    def abandoned(self, exchange: Exchange) -> None:
        """Withdraw the request of a caller that disconnected; a cancellation stays in force."""
        self._early_requests.drop(exchange.number)
        self._cancellations.abandoned(exchange.number)
        if self._exchanges.pop(exchange.number, None) is not None:
            self._act(self._dispatcher.caller_left(self._now(), exchange.number))

    def _act(self, effects: list[Effect], *, flush: bool = True) -> None:
        for effect in effects:
            if isinstance(effect, Log):
                self._context.log(effect)
                self._context.metrics.event(effect.event)
            elif isinstance(effect, BroadcastLoss):
                self._peers.broadcast_loss(effect.update)
            else:
                self._answer(effect)
        if flush:
            self._flush_soon()

    def _answer(self, effect: AnswerJob) -> None:
        outcome = effect.outcome
        kind = type(outcome).__name__.lower()
        reason = "" if isinstance(outcome, Completed) else outcome.reason
        self._context.metrics.answered(kind, reason)
        self._context.metrics.stage("answered", effect.waited)
        self._context.event(
            "job_answered",
            job=effect.key,
            outcome=kind,
            reason=reason,
            after_ms=round(effect.waited * 1000),
            catalog=self.catalog.version,
        )
        exchange = self._exchanges.pop(effect.caller, None)
        if exchange is not None:
            exchange.respond(self._codec.answer(outcome))

    @property
    def _incoming_handler(self) -> "_IncomingHandler":
        return _IncomingHandler(self)

    def accept_hello(self, link: PeerLink, hello: Hello) -> None:
        """Answer the hello of a target, or of another entry."""
        now = self._now()
        if hello.entry:
            self._peers.record_entry(
                EntryAddress(hello.name, hello.address, hello.incarnation, hello.hall)
            )
            link.send(self._hello(0, 0))
            return
        session, effects = self._dispatcher.handle_hello(now, hello)
        self._act(effects)
        if session is None:
            link.send(self._hello(0, 0))
            return
        old = self._target_links.get(hello.name)
        self._target_links[hello.name] = link
        if old is not None and old is not link:
            old.close()
        link.send(self._hello(session.number, session.received))
        session.send(Entries(self._peers.announced()))
        self._flush_soon()

    def accept_frame(self, link: PeerLink, frame: Frame) -> None:
        """Process a frame of a target, or of another entry."""
        if self._target_links.get(link.peer) is link:
            now = self._now()
            self._act(self._dispatcher.handle_frame(now, link.peer, frame))
            if self._dispatcher.needs_immediate_reply(now, link.peer, frame):
                self._replies_due.add(link.peer)
        else:
            self._peers.frame_received(link, frame)

    def link_closed(self, link: PeerLink) -> None:
        """Record that a connection has ended."""
        if link.peer and self._target_links.get(link.peer) is link:
            del self._target_links[link.peer]
            self._dispatcher.disconnected(self._now(), link.peer)

    def refuse(self, refusal: Refusal) -> None:
        """Count and log an invalid message, or an invalid part of one."""
        self._context.refuse(refusal)

    def entry_found(self, entry: EntryAddress) -> None:
        """Log an entry that is new or whose address has changed."""
        self._context.event("entry_found", entry=entry.name, address=entry.address)

    def notify_targets(self, changes: EntryChanges) -> None:
        """Send all targets the entries that have joined or gone."""
        for name in self._target_links:
            session = self._dispatcher.session(name)
            if session is not None:
                session.send(changes)
        self._flush_soon()

    def lacks_entries(self) -> bool:
        """Whether no other entry is known."""
        return not self._peers.names()

    def entry_discovered(self, entry: EntryAddress) -> None:
        """Dial an entry whose address was learned."""
        self._peers.entry_discovered(entry)

    def known_losses(self) -> list[LossUpdate]:
        """Return the recorded losses of runners."""
        return self._dispatcher.known_losses(self._now())

    def receive_loss(self, update: LossUpdate, source: str) -> None:
        """Process another entry's report on a lost runner."""
        self._act(self._dispatcher.handle_loss_update(self._now(), update, source))

    def known_cancellations(self) -> list[CancelledJob]:
        """Return the remembered cancelled jobs."""
        return self._dispatcher.known_cancellations(self._now())

    def receive_cancellation(self, job: CancelledJob, source: str) -> bool:
        """Cancel a job that another entry was asked to cancel; return whether it was held."""
        return self._cancellations.cancel_here(job, source)

    def cancellation_confirmed(self, entry: str, key: str, *, held: bool) -> None:
        """Record that another entry has cancelled a job, and whether it held it."""
        self._cancellations.confirmed(entry, key, held=held)

    @property
    def speeds(self) -> Speeds:
        """The measured slowness of each kind of host."""
        return self._dispatcher.speeds

    def receive_speeds(self, update: SpeedUpdate, source: str) -> None:
        """Process another entry's measurements of kinds of hosts."""
        self._act(self._dispatcher.handle_speed_update(self._now(), update, source))

    def target_count(self) -> int:
        """Return the number of connected targets."""
        return len(self._target_links)

    def receive_target_count(self, targets: int, source: str) -> None:
        """Record how many targets another entry is connected to."""
        self._readiness.record_peer_count(self._now(), source, targets)

    @property
    def evacuations(self) -> Evacuations:
        """The evacuated halls."""
        return self._dispatcher.evacuations

    def apply_evacuations(self, evacuated: EvacuatedHalls, source: str) -> None:
        """Apply a list of evacuated halls if it is newer, and broadcast what has changed."""
        before = self.evacuations.known
        self._act(self._dispatcher.handle_evacuations(self._now(), evacuated, source))
        if set(self.evacuations.known.halls) != set(before.halls):
            self._peers.broadcast_evacuations(self.evacuations.known)

    def adopt_catalog(self, catalog: Catalog, source: str) -> None:
        """Adopt `catalog` if it is newer than the one in force."""
        if catalog.version <= self.catalog.version:
            return
        before = self.catalog.version
        self.catalog = catalog
        limits = self._caller_server.limits
        limits.header_bytes = catalog.limits.header_bytes
        limits.body_bytes = catalog.limits.body_bytes
        limits.header_timeout = catalog.limits.header_timeout
        limits.idle_timeout = catalog.limits.idle_timeout
        self._context.event(
            "catalog_adopted", version=catalog.version, before=before, source=source
        )
        self._peers.announce_catalog(catalog)
        for exchange, waited in self._early_requests.release():
            self._process(exchange, waited)

    def catalog_requested(self, peer: str) -> None:
        """Log that another entry was asked for its configuration."""
        self._context.event("catalog_asked_for", entry=peer, version=self.catalog.version)

    def catalog_sent(self, peer: str, packed_bytes: int) -> None:
        """Log that another entry was sent the configuration."""
        version = self.catalog.version
        self._context.event(
            "catalog_handed_out", entry=peer, version=version, packed_bytes=packed_bytes
        )

    def _connections(self) -> list[MeteredConnection]:
        return [
            *self._target_links.values(),
            *self._peers.links(),
            *self._caller_server.open_connections,
        ]

    def _rejects_connections(self, now: float) -> bool:
        return self._meter.pressure.rejects_connections(now) and self._has_alternative_entry()

    def _has_alternative_entry(self) -> bool:
        """Whether another entry is alive that callers can be sent to."""
        return self._peers.any_seen_within(ALTERNATIVE_ENTRY_SECONDS)

    def _apply_link_pressure(self) -> None:
        """Shed load according to the pressure of the own link; responses are always sent.

        Once the balancer has noticed that this entry isn't ready, keep-alive connections are closed
        with their next responses.
        """
        now = self._now()
        level = self._meter.pressure.level
        self._peers.network_overloaded = level is not PressureLevel.NORMAL
        overloaded = level is PressureLevel.PRESSED
        if self._rejects_connections(now):
            self._unready_since = min(self._unready_since, now)
        else:
            self._unready_since = float("inf")
        balancer_noticed = now >= self._unready_since + BALANCER_DELAY_SECONDS
        self._caller_server.closing = self._leaving or balancer_noticed
        refused = Refused("link_pressed", OVERLOAD_RETRY_SECONDS)
        self._dispatcher.new_job_refusal = refused if overloaded else None

    async def _tick_forever(self) -> None:
        due = self._now()
        while True:
            self._meter.sample_when_due(self._now())
            self._apply_link_pressure()
            self._readiness.record_own_count(self._now(), len(self._target_links))
            self._act(self._dispatcher.tick(self._now()))
            self._cancellations.expire()
            self._flush()
            if self._dispatcher.has_new_jobs:
                self._place_soon()
            self._close_silent()
            now = self._now()
            due = max(due + self._times.check_interval, now)
            await asyncio.sleep(due - now)

    def _close_silent(self) -> None:
        """Close half-open connections, so that targets reconnect."""
        now = self._now()
        for target in self._dispatcher.targets():
            link = self._target_links.get(target.name)
            if link is not None and target.is_silent(now, self._times):
                link.close()

    def _flush_soon(self) -> None:
        if not self._flushing:
            self._flushing = True
            self._loop.call_soon(self._flush)

    def _flush(self) -> None:
        self._flushing = False
        self._act(self._dispatcher.place_waiting(self._now()), flush=False)
        for link in list(self._target_links.values()):
            session = self._dispatcher.session(link.peer)
            if session is not None and (session.pending or link.peer in self._replies_due):
                self._send(link, session)
        self._replies_due.clear()
        self._schedule_confirmation_check()

    def _schedule_confirmation_check(self) -> None:
        """Set the timer that checks idle targets for overdue liveness confirmations."""
        due = self._dispatcher.next_confirmation_deadline()
        if due is not None and self._confirmation_timer is None:
            due_in = due - self._now() + TIMER_MARGIN
            self._confirmation_timer = self._loop.call_later(due_in, self._check_confirmations_soon)

    def _check_confirmations_soon(self) -> None:
        """Check for overdue confirmations, once those already received are processed."""
        call_after_pending_io(self._loop, self._check_confirmations)

    def _check_confirmations(self) -> None:
        self._confirmation_timer = None
        self._act(self._dispatcher.check_confirmations(self._now()))

    def _send(self, link: PeerLink, session: Session) -> None:
        now = self._now()
        link.send(session.frame(int(now * 1000)))

    def _hello(self, session: int, received: int) -> Hello:
        config = self._config
        return Hello(
            config.name,
            self._incarnation,
            True,
            config.hall,
            config.peers,
            session,
            received,
            handles_cancellations=True,
        )


def _unconfigured() -> Response:
    """Return the response to a request that arrives before the first configuration."""
    return Response(503, headers=[(RETRY_AFTER, "1")])


@final
class _ReadinessPage:
    def __init__(self, service: EntryService) -> None:
        self._service = service

    def handle(self, exchange: Exchange) -> None:
        exchange.respond(Response(200 if self._service.is_ready else 503))

    def abandoned(self, exchange: Exchange) -> None:
        pass


@final
class _IncomingHandler:
    """Handler of connections that targets and other entries have made to this entry."""

    def __init__(self, service: EntryService) -> None:
        self._service = service

    def connection_opened(self, link: PeerLink) -> None:
        pass

    def hello_received(self, link: PeerLink, hello: Hello) -> None:
        self._service.accept_hello(link, hello)

    def frame_received(self, link: PeerLink, frame: Frame) -> None:
        self._service.accept_frame(link, frame)

    def message_refused(self, link: PeerLink, refusal: Refusal) -> None:
        self._service.refuse(refusal)

    def connection_closed(self, link: PeerLink) -> None:
        self._service.link_closed(link)

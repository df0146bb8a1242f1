"""The entry process: callers, targets, other entries and the store around the dispatcher."""

import asyncio
import os
from dataclasses import dataclass, replace
from random import Random
from typing import final

from paddleshunt_core.events import Log
from paddleshunt_core.leased.bounds import Bounds, lease_times
from paddleshunt_core.leased.catalog import EMPTY, Catalog
from paddleshunt_core.leased.catalogspread import LINK_MBPS
from paddleshunt_core.leased.dispatcher import Dispatcher, Effect
from paddleshunt_core.leased.evacuation import EvacuatedHalls, Evacuations
from paddleshunt_core.leased.linkpressure import PressureLevel
from paddleshunt_core.leased.outcomes import AnswerJob, Completed, HandOn, Refused
from paddleshunt_core.leased.refusals import Refusal
from paddleshunt_core.leased.session import Session
from paddleshunt_core.leased.speeds import Speeds
from paddleshunt_core.leased.targetless import Targetless
from paddleshunt_core.leased.wire import (
    Entries,
    EntryAddress,
    EntryChanges,
    Frame,
    Hello,
    LossUpdate,
    SpeedUpdate,
)

from paddleshunt_node.aio import clock
from paddleshunt_node.aio.earlyrequests import EarlyRequests
from paddleshunt_node.aio.entrygauges import add_entry_gauges
from paddleshunt_node.aio.entrypeers import EntryPeers
from paddleshunt_node.aio.framing import PeerLink
from paddleshunt_node.aio.httpserver import Exchange, HttpServer, Response
from paddleshunt_node.aio.linkmeter import LinkMeter, Metered
from paddleshunt_node.aio.loop import once_known
from paddleshunt_node.aio.ports import CallerCodec, StorePort
from paddleshunt_node.aio.process import OperatorPages, Surroundings, serve_pages
from paddleshunt_node.aio.sockets import serve
from paddleshunt_node.aio.storefollower import StoreFollower

LONELY_SECONDS = 3.0
"""Seconds after the start from which an entry is ready even without a target."""

NOTICED_SECONDS = 2.3
"""Seconds that the balancer may take to notice that this entry is leaving."""

LEAVING_PAUSE = 0.02
"""Seconds between two looks whether a leaving entry may end."""

END_MARGIN = 0.8
"""Seconds before SIGKILL at which all that is left is answered."""

TIMER_MARGIN = 0.0005
"""Seconds that a timer may be early by the clock that it is checked with, and some."""

RETRY_AFTER = "Retry-After"

OTHERS_SECONDS = 10.0
"""Seconds since another entry was heard for which callers are sent to it: at a pressed link what
the others say comes late as well."""

PRESSED_RETRY = 1.0
"""Seconds after which a caller may come back: other entries' links may be pressed as well, and
callers that go on to them at once would press them all."""


@final
@dataclass(frozen=True, slots=True)
class EntryConfig:
    """Who an entry is and where it listens; addresses are host:port.

    `link_mbps` is what its host's link carries, in megabits a second.
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
    """One entry."""

    def __init__(
        self,
        config: EntryConfig,
        codec: CallerCodec,
        store: StorePort,
        surroundings: Surroundings,
    ) -> None:
        self._config = config
        self._codec = codec
        self._around = surroundings
        self._times = lease_times(config.bounds)
        self._life = os.urandom(6).hex()
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
        self.catalog: Catalog = EMPTY
        self._waiting: dict[int, Exchange] = {}
        self._callers = HttpServer(self)
        self._early = EarlyRequests(_unconfigured)
        self._links: dict[str, PeerLink] = {}
        self._owed: set[str] = set()
        """Targets that a frame is due to, whether there is something to say or not."""
        own = EntryAddress(config.name, config.peers, self._life, config.hall)
        greeting, silence = self._hello(0, 0), self._times.session
        self._peers = EntryPeers(self, own, greeting, silence, config.link_mbps)
        self._peers.seeds(set(config.seeds))
        self._follower = StoreFollower(store, surroundings, own, self)
        self._meter = LinkMeter(
            surroundings,
            self._connections,
            lambda: self._dispatcher.echo_age(self._now()),
            self._times.usual_echo,
        )
        self._loop: asyncio.AbstractEventLoop
        self._flushing = False
        self._answers_timer: asyncio.TimerHandle | None = None
        self._leaving = False
        self._began = self._now()
        self._targetless = Targetless()
        self._unready_since = float("inf")
        """Since when new connections are sent elsewhere, as the own link is pressed."""

    # The process.

    async def run(self) -> None:
        """Serve until told to stop, then leave."""
        await self._start()
        await self._around.stopping.wait()
        await self._leave()

    def describe(self) -> dict[str, object]:
        """Return a dump of the state."""
        whole = self._dispatcher.describe(self._now())
        if self._peers.sheds:
            # By far the largest part; it may be asked for again once the link is free.
            whole["targets"] = "left out while the link is pressed"
        return {
            "name": self._config.name,
            "life": self._life,
            "catalog_version": self.catalog.version,
            "leaving": self._leaving,
            "entries": self._peers.names(),
            "link": self._meter.describe(),
            **whole,
        }

    async def _start(self) -> None:
        self._loop = asyncio.get_running_loop()
        await self._callers.start(self._config.callers)
        await HttpServer(_Readiness(self)).start(self._config.ready)
        await serve(lambda: PeerLink(self._target_side, self._times.session), self._config.peers)
        pages = OperatorPages(self._around.measures, self.describe)
        await serve_pages(pages, self._config.metrics, self._around)
        add_entry_gauges(
            self._around.measures,
            self._dispatcher,
            lambda: self.catalog.version,
            lambda: len(self._links),
        )
        self._meter.show()
        self._around.event("started", role="entry", node=self._config.name, life=self._life)
        self._around.spawn(self._peers.dial_for_ever())
        self._around.spawn(self._tick_for_ever())
        self._around.spawn(self._peers.gossip_for_ever())
        self._around.spawn(self._follower.follow())
        self._around.spawn(self._follower.announce())

    async def _leave(self) -> None:
        began = self._now()
        self._leaving = True
        self._callers.closing = True
        self._around.event("leaving", jobs=self._dispatcher.jobs)
        self._around.spawn(self._follower.withdraw())
        last = began + self._config.bounds.grace - END_MARGIN
        self._dispatcher.leave(last)
        noticed = min(began + NOTICED_SECONDS, last)
        while self._now() < noticed:
            await asyncio.sleep(LEAVING_PAUSE)
        # New connections go elsewhere by now, but callers may still hand in over kept ones.
        self._callers.close_idle()
        while self._now() < last and self._dispatcher.jobs:
            await asyncio.sleep(LEAVING_PAUSE)
        self._act(self._dispatcher.finish(self._now()))
        self._flush()
        self._callers.stop_listening()
        self._callers.close_idle()
        await asyncio.sleep(0.05)
        self._around.cancel()
        self._around.event("stopped", after_ms=round((self._now() - began) * 1000))

    def reload(self, seeds: set[str]) -> None:
        """Adopt new settings."""
        self._peers.seeds(seeds)

    def _now(self) -> float:
        return clock.now()

    # Callers.

    @property
    def is_ready(self) -> bool:
        """Whether new connections may come here."""
        if self.catalog.version == 0 or self._leaving:
            return False
        if self._is_turning_away(self._now()):
            return False
        if self._targetless.sends_elsewhere(self._now()):
            return False
        return bool(self._links) or self._now() > self._began + LONELY_SECONDS

    def handle(self, exchange: Exchange) -> None:
        """Take a caller's request."""
        if self.catalog.version == 0:
            # One that comes as this process leaves might be cut off while it waits.
            if self._leaving:
                exchange.respond(_unconfigured())
            else:
                self._early.hold(exchange)
            return
        self._handle(exchange, 0.0)

    def _handle(self, exchange: Exchange, waited: float) -> None:
        """Take a request that came `waited` seconds ago."""
        read = self._codec.read(exchange.request, self.catalog)
        if isinstance(read, Response):
            exchange.respond(read)
            return
        self._waiting[exchange.number] = exchange
        job = read.job
        if waited:
            job = replace(job, deadline=max(0.0, job.deadline - waited))
        self._act(self._dispatcher.submit(self._now(), exchange.number, job, read.queue))
        self._loop.call_later(self._config.bounds.caller_delay + TIMER_MARGIN, self._place_soon)

    def _place_soon(self) -> None:
        """Place what has just come, once the connections that have ended are known."""
        once_known(self._loop, lambda: self._act(self._dispatcher.place_arrived(self._now())))

    def abandoned(self, exchange: Exchange) -> None:
        """Stop the work of a caller that left."""
        self._early.drop(exchange.number)
        if self._waiting.pop(exchange.number, None) is not None:
            self._act(self._dispatcher.caller_left(self._now(), exchange.number))

    def _act(self, effects: list[Effect], *, flush: bool = True) -> None:
        for effect in effects:
            if isinstance(effect, Log):
                self._around.log(effect)
                self._around.measures.event(effect.event)
            elif isinstance(effect, HandOn):
                self._peers.tell_loss(effect.news)
            else:
                self._answer(effect)
        if flush:
            self._flush_soon()

    def _answer(self, effect: AnswerJob) -> None:
        outcome = effect.outcome
        kind = type(outcome).__name__.lower()
        reason = "" if isinstance(outcome, Completed) else outcome.reason
        self._around.measures.answered(kind, reason)
        self._around.measures.stage("answered", effect.waited)
        self._around.event(
            "job_answered",
            job=effect.key,
            outcome=kind,
            reason=reason,
            after_ms=round(effect.waited * 1000),
            catalog=self.catalog.version,
        )
        exchange = self._waiting.pop(effect.caller, None)
        if exchange is not None:
            exchange.respond(self._codec.answer(outcome))

    # Targets.

    @property
    def _target_side(self) -> "_TargetSide":
        return _TargetSide(self)

    def target_greeted(self, link: PeerLink, hello: Hello) -> None:
        """Take the greeting of a target, or of another entry."""
        now = self._now()
        if hello.entry:
            self._peers.note(EntryAddress(hello.name, hello.address, hello.incarnation, hello.hall))
            link.send(self._hello(0, 0))
            return
        session, effects = self._dispatcher.greeted(now, hello)
        self._act(effects)
        if session is None:
            link.send(self._hello(0, 0))
            return
        old = self._links.get(hello.name)
        self._links[hello.name] = link
        if old is not None and old is not link:
            old.close()
        link.send(self._hello(session.number, session.received))
        session.send(Entries(self._peers.told()))
        self._flush_soon()

    def target_heard(self, link: PeerLink, frame: Frame) -> None:
        """Take a frame of a target, or of another entry."""
        if self._links.get(link.peer) is link:
            now = self._now()
            self._act(self._dispatcher.heard(now, link.peer, frame))
            if self._dispatcher.owes_answer(now, link.peer, frame):
                self._owed.add(link.peer)
        else:
            self._peers.heard(link, frame)

    def link_closed(self, link: PeerLink) -> None:
        """Take the end of a connection."""
        if link.peer and self._links.get(link.peer) is link:
            del self._links[link.peer]
            self._dispatcher.disconnected(self._now(), link.peer)

    # Other entries.

    def refuse(self, refusal: Refusal) -> None:
        """Take note of a word that can't be read."""
        self._around.refuse(refusal)

    def found(self, entry: EntryAddress) -> None:
        """Take note of an entry that is new, or has moved."""
        self._around.event("entry_found", entry=entry.name, address=entry.address)

    def tell_targets(self, changes: EntryChanges) -> None:
        """Tell the targets which entries have joined or gone."""
        for name in self._links:
            session = self._dispatcher.session(name)
            if session is not None:
                session.send(changes)
        self._flush_soon()

    def lacks_entries(self) -> bool:
        """Whether no other entry has been met."""
        return not self._peers.names()

    def met(self, entry: EntryAddress) -> None:
        """Dial an entry that was heard of."""
        self._peers.met(entry)

    def known_losses(self) -> list[LossUpdate]:
        """Return what is remembered of lost runners."""
        return self._dispatcher.known_losses(self._now())

    def told_loss(self, news: LossUpdate, source: str) -> None:
        """Take another entry's word on a lost runner."""
        self._act(self._dispatcher.told_loss(self._now(), news, source))

    @property
    def speeds(self) -> Speeds:
        """What is known of how slow the kinds of hosts are."""
        return self._dispatcher.speeds

    def told_speeds(self, news: SpeedUpdate, source: str) -> None:
        """Take another entry's word on kinds of hosts."""
        self._act(self._dispatcher.told_speeds(self._now(), news, source))

    def targets_held(self) -> int:
        """Return how many targets are in session, for other entries."""
        return len(self._links)

    def told_targets(self, targets: int, source: str) -> None:
        """Take another entry's word on how many targets it has."""
        self._targetless.told(self._now(), source, targets)

    # The operator's word.

    @property
    def evacuations(self) -> Evacuations:
        """The evacuated halls that are known."""
        return self._dispatcher.evacuations

    def learn(self, evacuated: EvacuatedHalls, source: str) -> None:
        """Follow a word of evacuated halls if it is newer, and hand it on."""
        before = self.evacuations.known
        self._act(self._dispatcher.told_evacuations(self._now(), evacuated, source))
        if set(self.evacuations.known.halls) != set(before.halls):
            self._peers.tell_evacuations(self.evacuations.known)

    def adopt(self, catalog: Catalog, source: str) -> None:
        """Follow `catalog` if it is newer than the one in force."""
        if catalog.version <= self.catalog.version:
            return
        before = self.catalog.version
        self.catalog = catalog
        limits = self._callers.limits
        limits.header_bytes = catalog.limits.header_bytes
        limits.body_bytes = catalog.limits.body_bytes
        limits.header_timeout = catalog.limits.header_timeout
        limits.idle_timeout = catalog.limits.idle_timeout
        self._around.event("catalog_adopted", version=catalog.version, before=before, source=source)
        self._peers.tell_catalog(catalog)
        for exchange, waited in self._early.release():
            self._handle(exchange, waited)

    def asked_for_catalog(self, peer: str) -> None:
        """Take note that another entry was asked for its configuration."""
        self._around.event("catalog_asked_for", entry=peer, version=self.catalog.version)

    def handed_out_catalog(self, peer: str, packed_bytes: int) -> None:
        """Take note that another entry was sent the configuration."""
        version = self.catalog.version
        self._around.event(
            "catalog_handed_out", entry=peer, version=version, packed_bytes=packed_bytes
        )

    # The own link.

    def _connections(self) -> list[Metered]:
        return [*self._links.values(), *self._peers.links(), *self._callers.open]

    def _is_turning_away(self, now: float) -> bool:
        return self._meter.pressure.turns_away(now) and self._knows_another()

    def _knows_another(self) -> bool:
        """Whether another entry is alive that may take what this one turns away."""
        return self._peers.heard_within(OTHERS_SECONDS)

    def _follow_pressure(self) -> None:
        """Leave undone what the level of the own link says; answers under way always go out.

        Callers whose connections the balancer no longer gives this entry are sent off with their
        next answers.
        """
        now = self._now()
        level = self._meter.pressure.level
        self._peers.sheds = level is not PressureLevel.NORMAL
        pressed = level is PressureLevel.PRESSED
        if self._is_turning_away(now):
            self._unready_since = min(self._unready_since, now)
        else:
            self._unready_since = float("inf")
        noticed = now >= self._unready_since + NOTICED_SECONDS
        self._callers.closing = self._leaving or noticed
        refused = Refused("link_pressed", PRESSED_RETRY)
        self._dispatcher.turned_away = refused if pressed else None

    # Time and sending.

    async def _tick_for_ever(self) -> None:
        due = self._now()
        while True:
            self._meter.sample_when_due(self._now())
            self._follow_pressure()
            self._targetless.count(self._now(), len(self._links))
            self._act(self._dispatcher.tick(self._now()))
            self._flush()
            if self._dispatcher.awaits_callers:
                self._place_soon()
            self._close_silent()
            now = self._now()
            due = max(due + self._times.check, now)
            await asyncio.sleep(due - now)

    def _close_silent(self) -> None:
        """Break off half-open connections: a new one works sooner."""
        now = self._now()
        for target in self._dispatcher.targets():
            link = self._links.get(target.name)
            if link is not None and target.is_silent(now, self._times):
                link.close()

    def _flush_soon(self) -> None:
        if not self._flushing:
            self._flushing = True
            self._loop.call_soon(self._flush)

    def _flush(self) -> None:
        self._flushing = False
        self._act(self._dispatcher.place_waiting(self._now()), flush=False)
        for link in list(self._links.values()):
            session = self._dispatcher.session(link.peer)
            if session is not None and (session.pending or link.peer in self._owed):
                self._send(link, session)
        self._owed.clear()
        self._await_answers()

    def _await_answers(self) -> None:
        """Look for idle targets that don't answer when the first is overdue."""
        due = self._dispatcher.answer_due()
        if due is not None and self._answers_timer is None:
            due_in = due - self._now() + TIMER_MARGIN
            self._answers_timer = self._loop.call_later(due_in, self._check_answers)

    def _check_answers(self) -> None:
        """Check once all that has come is read: answers may have waited for this process."""
        once_known(self._loop, self._check_read_answers)

    def _check_read_answers(self) -> None:
        self._answers_timer = None
        self._act(self._dispatcher.check_answers(self._now()))

    def _send(self, link: PeerLink, session: Session) -> None:
        now = self._now()
        link.send(session.frame(int(now * 1000)))

    def _hello(self, session: int, received: int) -> Hello:
        config = self._config
        return Hello(config.name, self._life, True, config.hall, config.peers, session, received)


def _unconfigured() -> Response:
    """Return the answer to a request that comes without a configuration to go by."""
    return Response(503, headers=[(RETRY_AFTER, "1")])


@final
class _Readiness:
    def __init__(self, service: EntryService) -> None:
        self._service = service

    def handle(self, exchange: Exchange) -> None:
        exchange.respond(Response(200 if self._service.is_ready else 503))

    def abandoned(self, exchange: Exchange) -> None:
        pass


@final
class _TargetSide:
    """Connections that others have made to this entry."""

    def __init__(self, service: EntryService) -> None:
        self._service = service

    def opened(self, link: PeerLink) -> None:
        pass

    def greeted(self, link: PeerLink, hello: Hello) -> None:
        self._service.target_greeted(link, hello)

    def heard(self, link: PeerLink, frame: Frame) -> None:
        self._service.target_heard(link, frame)

    def refused(self, link: PeerLink, refusal: Refusal) -> None:
        self._service.refuse(refusal)

    def closed(self, link: PeerLink) -> None:
        self._service.link_closed(link)

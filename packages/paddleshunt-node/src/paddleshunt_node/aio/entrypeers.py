"""Gossip between entries: live entries, configurations, evacuations and lost runners."""

import asyncio
from random import Random
from typing import Protocol, final

from paddleshunt_core.leased.catalog import Catalog
from paddleshunt_core.leased.catalogsync import LINK_MBPS, CatalogSync, RequestCatalog, SendCatalog
from paddleshunt_core.leased.evacuation import EvacuatedHalls, Evacuations
from paddleshunt_core.leased.refusals import InputKind, Refusal
from paddleshunt_core.leased.speeds import Speeds
from paddleshunt_core.leased.wire import (
    Body,
    CancelJobs,
    CancelledJob,
    CatalogUpdate,
    CatalogVersion,
    Entries,
    EntryAddress,
    EntryChanges,
    EvacuationUpdate,
    Frame,
    Hello,
    JobsCancelled,
    LossUpdate,
    PackedCatalog,
    RunnerLost,
    RunnerReturned,
    RunnerSilent,
    SessionCount,
    SpeedUpdate,
)

from paddleshunt_node.aio import clock
from paddleshunt_node.aio.catalogpack import CatalogPackError, pack, unpack
from paddleshunt_node.aio.dialer import Dialer
from paddleshunt_node.aio.entryvalidation import valid_entries
from paddleshunt_node.aio.framing import PeerLink

GOSSIP_SECONDS = 0.4
"""Seconds between two gossip messages to each other entry."""

SHED_GOSSIP_SECONDS = 0.7
"""Seconds between gossip messages while the own link is overloaded; two rounds fit into
`ENTRY_ALIVE_SECONDS`."""

ENTRY_ALIVE_SECONDS = 1.5
"""Seconds after an entry's last message during which it counts as alive."""

ANNOUNCE_DELAY_SECONDS = 0.05
"""Seconds for which new entries are collected before they are announced to targets."""

MIN_SYNC_INTERVAL_SECONDS = 0.02
"""Minimum seconds between two steps of the configuration's distribution."""


class PeerOwner(Protocol):
    """The entry on whose behalf `EntryPeers` sends and receives."""

    @property
    def catalog(self) -> Catalog:
        """The configuration in force."""

    @property
    def evacuations(self) -> Evacuations:
        """The evacuated halls."""

    def adopt_catalog(self, catalog: Catalog, source: str) -> None:
        """Adopt another entry's configuration if it is newer."""

    def catalog_requested(self, peer: str) -> None:
        """Record that another entry was asked for its configuration."""

    def catalog_sent(self, peer: str, packed_bytes: int) -> None:
        """Record that another entry was sent the configuration."""

    def apply_evacuations(self, evacuated: EvacuatedHalls, source: str) -> None:
        """Apply another entry's list of evacuated halls if it is newer."""

    def known_losses(self) -> list[LossUpdate]:
        """Return the recorded losses of runners."""

    def receive_loss(self, update: LossUpdate, source: str) -> None:
        """Process another entry's report on a lost runner."""

    def known_cancellations(self) -> list[CancelledJob]:
        """Return the remembered cancelled jobs."""

    def receive_cancellation(self, job: CancelledJob, source: str) -> bool:
        """Cancel a job that another entry was asked to cancel; return whether it was held."""

    def cancellation_confirmed(self, entry: str, key: str, *, held: bool) -> None:
        """Record that another entry has cancelled a job, and whether it held it."""

    @property
    def speeds(self) -> Speeds:
        """The measured slowness of each kind of host."""

    def receive_speeds(self, update: SpeedUpdate, source: str) -> None:
        """Process another entry's measurements of kinds of hosts."""

    def target_count(self) -> int:
        """Return the number of connected targets."""

    def receive_target_count(self, targets: int, source: str) -> None:
        """Record how many targets another entry is connected to."""

    def entry_found(self, entry: EntryAddress) -> None:
        """Record an entry that is new or whose address has changed."""

    def refuse(self, refusal: Refusal) -> None:
        """Record an invalid message, or an invalid part of one."""

    def notify_targets(self, changes: EntryChanges) -> None:
        """Send all targets the entries that have joined or gone."""


@final
class EntryPeers:
    """Tracks the other entries, and exchanges gossip with them.

    `hello` is sent over each new connection; `ack_timeout` is the connections' time-out of
    unacknowledged data, in seconds.
    """

    def __init__(
        self,
        owner: PeerOwner,
        own: EntryAddress,
        hello: Hello,
        ack_timeout: float,
        link_mbps: float = LINK_MBPS,
    ) -> None:
        self._owner = owner
        self._own = own
        self._hello = hello
        self._known: dict[str, tuple[EntryAddress, float]] = {}
        self._announced: dict[str, EntryAddress] = {own.name: own}
        """The entries last announced to targets, by name."""
        self._announcing = False
        self._cancelling: set[PeerLink] = set()
        """Connections to the entries that handle cancellations."""
        self._list_index = 0
        """Index of the connection to which the list of live entries was last sent."""
        self.network_overloaded = False
        """Whether this host's link is overloaded, so that deferrable messages are left out."""
        self._catalog_sync = CatalogSync(Random(), link_mbps)
        self._requesters: dict[str, PeerLink] = {}
        """Connections of the entries that have requested the configuration, by name."""
        self._packed = PackedCatalog(0, b"")
        self._sync_timer: asyncio.TimerHandle | None = None
        self._sync_due = 0.0
        """When `_sync_timer` fires, while it is set."""
        self._dialer = Dialer(self, own.address, ack_timeout, lambda _: True)

    def set_seeds(self, addresses: set[str]) -> None:
        """Replace the addresses that are always dialled."""
        self._dialer.set_seeds(addresses)

    def links(self) -> list[PeerLink]:
        """Return the open connections that this entry has made to others."""
        return self._dialer.links()

    def names(self) -> list[str]:
        """Return the names of all other entries that were ever seen."""
        return sorted(self._known)

    def live(self) -> list[EntryAddress]:
        """Return this entry, and those whose last message is recent."""
        now = clock.now()
        live = [entry for entry, at in self._known.values() if now < at + ENTRY_ALIVE_SECONDS]
        return sorted([*live, self._own])

    def any_seen_within(self, seconds: float) -> bool:
        """Whether any other entry has sent a message in the last `seconds`."""
        now = clock.now()
        return any(now < at + seconds for _, at in self._known.values())

    def announced(self) -> list[EntryAddress]:
        """Return the entries last announced; a target gets these first, and later only changes."""
        return sorted(self._announced.values())

    def entry_discovered(self, entry: EntryAddress) -> None:
        """Dial an entry whose address was learned."""
        self._dialer.add(clock.now(), entry.address)

    def record_entry(self, entry: EntryAddress) -> None:
        """Record an entry that has sent a hello, and announce it if it is new."""
        if not valid_entries([entry], entry.name, self._owner.refuse):
            return
        known = self._known.get(entry.name)
        self._known[entry.name] = (entry, clock.now())
        self.entry_discovered(entry)
        if known is None or known[0] != entry:
            self._owner.entry_found(entry)
            self._send_all(Entries([entry]))
            self._announce_soon()

    def announce_catalog(self, catalog: Catalog) -> None:
        """Send all entries the version in force; those without another source request it."""
        self._catalog_sync.set_version(catalog.version)
        self._send_all(CatalogVersion(catalog.version))

    def broadcast_evacuations(self, evacuated: EvacuatedHalls) -> None:
        """Send all entries the evacuated halls."""
        self._send_all(EvacuationUpdate(evacuated))

    def broadcast_loss(self, update: LossUpdate) -> None:
        """Send all entries a report on a lost runner."""
        self._send_all(update)

    def broadcast_cancellation(self, job: CancelledJob) -> set[str]:
        """Send all entries a cancelled job; return the names of those that have to confirm it."""
        frame = _sessionless_frame(CancelJobs([job]))
        for link in self._cancelling:
            link.send(frame)
        return {entry.name for entry in self.live()} - {self._own.name}

    async def dial_forever(self) -> None:
        """Keep a connection to each entry until cancelled."""
        await self._dialer.run()

    async def gossip_forever(self) -> None:
        """Send entries and targets the known state until cancelled.

        A round sends each entry only versions and counts, so that its bytes grow linearly with the
        number of entries. The list of live entries goes to new connections, and to one entry a
        round in turn, which repairs what was missed. Speeds are sent when they have changed.
        """
        while True:
            self._announce_changes()
            self._send_all(
                CatalogVersion(self._owner.catalog.version),
                EvacuationUpdate(self._owner.evacuations.known),
                SessionCount(self._owner.target_count()),
            )
            changed_speeds = self._owner.speeds.take_changes()
            if changed_speeds is not None:
                self._send_all(changed_speeds)
            links = self._dialer.links()
            if links and not self.network_overloaded:
                self._list_index = (self._list_index + 1) % len(links)
                links[self._list_index].send(_sessionless_frame(Entries(self.live())))
            await asyncio.sleep(SHED_GOSSIP_SECONDS if self.network_overloaded else GOSSIP_SECONDS)

    def _send_all(self, *bodies: Body) -> None:
        frame = _sessionless_frame(*bodies)
        for link in self._dialer.links():
            link.send(frame)

    def _announce_soon(self) -> None:
        if not self._announcing:
            self._announcing = True
            asyncio.get_running_loop().call_later(ANNOUNCE_DELAY_SECONDS, self._announce_changes)

    def _announce_changes(self) -> None:
        """Send targets the entries that have joined or gone since the last announcement."""
        self._announcing = False
        live = {entry.name: entry for entry in self.live()}
        joined = [entry for entry in live.values() if self._announced.get(entry.name) != entry]
        gone = [name for name in self._announced if name not in live]
        if joined or gone:
            self._announced = live
            self._owner.notify_targets(EntryChanges(joined, gone))

    def _handle_version(self, link: PeerLink, offered: CatalogVersion) -> None:
        if offered.wanted:
            self._requesters[link.peer] = link
            self._catalog_sync.on_request(link.peer, offered.version)
        else:
            self._catalog_sync.on_version(clock.now(), link.peer, offered.version)
        self._schedule_sync()

    def _handle_packed_catalog(self, link: PeerLink, packed: PackedCatalog) -> None:
        try:
            catalog = unpack(packed)
        except CatalogPackError as problem:
            self._owner.refuse(Refusal(InputKind.CONFIGURATION, link.peer, str(problem)))
            return
        self._owner.adopt_catalog(catalog, link.peer)

    def _schedule_sync(self) -> None:
        due = self._catalog_sync.due()
        if due is None:
            return
        due = max(due, clock.now() + MIN_SYNC_INTERVAL_SECONDS)
        if self._sync_timer is not None:
            if self._sync_due <= due:
                return
            self._sync_timer.cancel()
        self._sync_due = due
        loop = asyncio.get_running_loop()
        self._sync_timer = loop.call_later(due - clock.now(), self._sync_catalog)

    def _sync_catalog(self) -> None:
        """Request a configuration, or send copies of it, as far as due."""
        self._sync_timer = None
        for step in self._catalog_sync.act(clock.now(), may_send=not self.network_overloaded):
            match step:
                case RequestCatalog():
                    self._request_catalog(step.peer)
                case SendCatalog():
                    self._send_catalog(step.peer)
        self._schedule_sync()

    def _request_catalog(self, peer: str) -> None:
        request = CatalogVersion(self._owner.catalog.version, wanted=True)
        for link in self._dialer.links():
            if link.peer == peer:
                link.send(_sessionless_frame(request))
                self._owner.catalog_requested(peer)
                return

    def _send_catalog(self, peer: str) -> None:
        catalog = self._owner.catalog
        if self._packed.version != catalog.version:
            self._packed = pack(catalog)
        size = len(self._packed.content)
        self._requesters.pop(peer).send(_sessionless_frame(self._packed))
        self._catalog_sync.copy_sent(clock.now(), size)
        self._owner.catalog_sent(peer, size)

    def connection_opened(self, link: PeerLink) -> None:
        """Send a dialled entry the hello and the whole known state."""
        link.send(self._hello)
        speeds = self._owner.speeds.export()
        updates: list[Body] = [*self._owner.known_losses(), *([speeds] if speeds else [])]
        version = CatalogVersion(self._owner.catalog.version)
        link.send(_sessionless_frame(Entries(self.live()), version, *updates))

    def hello_received(self, link: PeerLink, hello: Hello) -> None:
        """Record an entry that was dialled, and send it the cancelled jobs."""
        self.record_entry(EntryAddress(hello.name, hello.address, hello.incarnation, hello.hall))
        if hello.handles_cancellations:
            self._cancelling.add(link)
            cancelled = self._owner.known_cancellations()
            if cancelled:
                link.send(_sessionless_frame(CancelJobs(cancelled)))

    def frame_received(self, link: PeerLink, frame: Frame) -> None:
        """Process a frame of another entry, whichever side opened the connection."""
        for body in frame.bodies:
            self._handle_body(link, body)
        known = self._known.get(link.peer)
        if known is not None:
            self._known[link.peer] = (known[0], clock.now())

    def _handle_body(self, link: PeerLink, body: Body) -> None:
        match body:
            case Entries():
                for entry in valid_entries(body.entries, link.peer, self._owner.refuse):
                    self.entry_discovered(entry)
            case EvacuationUpdate():
                if self._owner.evacuations.supersedes(body.evacuated):
                    link.send(_sessionless_frame(EvacuationUpdate(self._owner.evacuations.known)))
                self._owner.apply_evacuations(body.evacuated, link.peer)
            case RunnerLost() | RunnerReturned() | RunnerSilent():
                self._owner.receive_loss(body, link.peer)
            case CatalogUpdate():
                self._owner.adopt_catalog(body.catalog, link.peer)
            case PackedCatalog():
                self._handle_packed_catalog(link, body)
            case CatalogVersion():
                self._handle_version(link, body)
            case CancelJobs() | JobsCancelled():
                self._handle_cancellations(link, body)
            case _:
                self._handle_statistics(link, body)

    def _handle_cancellations(self, link: PeerLink, body: CancelJobs | JobsCancelled) -> None:
        """Cancel jobs and confirm it to the sender, or handle its confirmation."""
        if isinstance(body, JobsCancelled):
            for key in body.keys:
                self._owner.cancellation_confirmed(link.peer, key, held=key in body.held)
            return
        held = [job.key for job in body.jobs if self._owner.receive_cancellation(job, link.peer)]
        link.send(_sessionless_frame(JobsCancelled([job.key for job in body.jobs], held)))

    def _handle_statistics(self, link: PeerLink, body: Body) -> None:
        match body:
            case SpeedUpdate():
                self._owner.receive_speeds(body, link.peer)
            case SessionCount():
                self._owner.receive_target_count(body.count, link.peer)
            case _:
                pass

    def message_refused(self, link: PeerLink, refusal: Refusal) -> None:
        """Record an invalid message."""
        self._owner.refuse(refusal)

    def connection_closed(self, link: PeerLink) -> None:
        """Drop the peer's pending request, and dial it again."""
        self._cancelling.discard(link)
        self._catalog_sync.peer_left(link.peer)
        self._requesters.pop(link.peer, None)
        self._dialer.redial(link)


def _sessionless_frame(*bodies: Body) -> Frame:
    """Return a frame that belongs to no session."""
    return Frame(1, 0, 0, 0, list(bodies))

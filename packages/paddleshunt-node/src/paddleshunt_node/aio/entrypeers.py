"""What an entry knows of the other entries, and says to them: who lives, the operator's word."""

import asyncio
from random import Random
from typing import Protocol, final

from paddleshunt_core.leased.catalog import Catalog
from paddleshunt_core.leased.catalogspread import LINK_MBPS, AskFor, CatalogSpread, HandOut
from paddleshunt_core.leased.evacuation import EvacuatedHalls, Evacuations
from paddleshunt_core.leased.refusals import InputKind, Refusal
from paddleshunt_core.leased.speeds import Speeds
from paddleshunt_core.leased.wire import (
    Body,
    CatalogUpdate,
    CatalogVersion,
    Entries,
    EntryAddress,
    EntryChanges,
    EvacuationUpdate,
    Frame,
    Hello,
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
from paddleshunt_node.aio.framing import PeerLink
from paddleshunt_node.aio.peerwords import readable

GOSSIP_SECONDS = 0.4
"""Seconds between two messages to each other entry."""

SHED_GOSSIP_SECONDS = 0.7
"""The same while the own link is pressed: two rounds fit into the time for which an entry counts
as alive."""

ENTRY_FRESH = 1.5
"""Seconds since an entry was heard for which it counts as alive."""

TELL_PAUSE = 0.05
"""Seconds for which newly met entries are collected before targets are told of them."""


SPREAD_PAUSE = 0.02
"""Shortest time between two looks at what the spreading of a configuration needs."""


class PeerOwner(Protocol):
    """The entry that speaks to the others."""

    @property
    def catalog(self) -> Catalog:
        """The configuration in force."""

    @property
    def evacuations(self) -> Evacuations:
        """The evacuated halls that are known."""

    def adopt(self, catalog: Catalog, source: str) -> None:
        """Take a configuration that another entry has."""

    def asked_for_catalog(self, peer: str) -> None:
        """Take note that another entry was asked for its configuration."""

    def handed_out_catalog(self, peer: str, packed_bytes: int) -> None:
        """Take note that another entry was sent the configuration."""

    def learn(self, evacuated: EvacuatedHalls, source: str) -> None:
        """Take the evacuated halls that another entry knows."""

    def known_losses(self) -> list[LossUpdate]:
        """Return what is remembered of lost runners."""

    def told_loss(self, news: LossUpdate, source: str) -> None:
        """Take another entry's word on a lost runner."""

    @property
    def speeds(self) -> Speeds:
        """What is known of how slow the kinds of hosts are."""

    def told_speeds(self, news: SpeedUpdate, source: str) -> None:
        """Take another entry's word on kinds of hosts."""

    def targets_held(self) -> int:
        """Return how many targets are in session."""

    def told_targets(self, targets: int, source: str) -> None:
        """Take another entry's word on how many targets it has."""

    def found(self, entry: EntryAddress) -> None:
        """Take note of an entry that is new, or has moved."""

    def refuse(self, refusal: Refusal) -> None:
        """Take note of a word that can't be read."""

    def tell_targets(self, changes: EntryChanges) -> None:
        """Tell the targets which entries have joined or gone."""


@final
class EntryPeers:
    """The other entries, and the connections that this entry has made to them."""

    def __init__(
        self,
        owner: PeerOwner,
        own: EntryAddress,
        greeting: Hello,
        silence: float,
        link_mbps: float = LINK_MBPS,
    ) -> None:
        self._owner = owner
        self._own = own
        self._greeting = greeting
        self._known: dict[str, tuple[EntryAddress, float]] = {}
        self._told: dict[str, EntryAddress] = {own.name: own}
        """The entries that targets have been told of."""
        self._telling = False
        self._turn = 0
        self.sheds = False
        """Whether this host's link is pressed, so that what can wait is left out."""
        self._spread = CatalogSpread(Random(), link_mbps)
        self._askers: dict[str, PeerLink] = {}
        """By name, the connection over which an entry has asked for the configuration."""
        self._packed = PackedCatalog(0, b"")
        self._spreading: asyncio.TimerHandle | None = None
        self._spread_due = 0.0
        """When that timer goes off."""
        self._dialer = Dialer(self, own.address, silence, lambda _: True)

    def seeds(self, addresses: set[str]) -> None:
        """Try these addresses for ever."""
        self._dialer.seeds(addresses)

    def links(self) -> list[PeerLink]:
        """Return the connections to other entries that this one has made."""
        return self._dialer.links()

    def names(self) -> list[str]:
        """Return the names of all entries that were met."""
        return sorted(self._known)

    def live(self) -> list[EntryAddress]:
        """Return the entries that were heard lately, and this one."""
        now = clock.now()
        live = [entry for entry, at in self._known.values() if now < at + ENTRY_FRESH]
        return sorted([*live, self._own])

    def heard_within(self, seconds: float) -> bool:
        """Whether any other entry was heard in the last so many seconds."""
        now = clock.now()
        return any(now < at + seconds for _, at in self._known.values())

    def told(self) -> list[EntryAddress]:
        """Return the entries that targets have been told of; what changes is told to all."""
        return sorted(self._told.values())

    def met(self, entry: EntryAddress) -> None:
        """Dial an entry that was heard of."""
        self._dialer.want(clock.now(), entry.address)

    def note(self, entry: EntryAddress) -> None:
        """Take an entry's greeting."""
        if not readable([entry], entry.name, self._owner.refuse):
            return
        known = self._known.get(entry.name)
        self._known[entry.name] = (entry, clock.now())
        self.met(entry)
        if known is None or known[0] != entry:
            self._owner.found(entry)
            self._send_all(Entries([entry]))
            self._tell_soon()

    def tell_catalog(self, catalog: Catalog) -> None:
        """Tell all which version is in force now; who can't get it elsewhere asks for it."""
        self._spread.adopted(catalog.version)
        self._send_all(CatalogVersion(catalog.version))

    def tell_evacuations(self, evacuated: EvacuatedHalls) -> None:
        """Tell all which halls are evacuated."""
        self._send_all(EvacuationUpdate(evacuated))

    def tell_loss(self, news: LossUpdate) -> None:
        """Hand a word on a lost runner on to all."""
        self._send_all(news)

    async def dial_for_ever(self) -> None:
        """Keep a connection to each entry until cancelled."""
        await self._dialer.run()

    async def gossip_for_ever(self) -> None:
        """Tell entries and targets what is known until cancelled.

        A round tells each entry no more than the versions, so that its bytes grow with the entries
        and not with their square. Who lives is told when an entry is met; one other entry a round
        gets the whole list, in turn, in case it missed something. How slow kinds of hosts are is
        told when it has changed.
        """
        while True:
            self._tell_changes()
            self._send_all(
                CatalogVersion(self._owner.catalog.version),
                EvacuationUpdate(self._owner.evacuations.known),
                SessionCount(self._owner.targets_held()),
            )
            learned = self._owner.speeds.news()
            if learned is not None:
                self._send_all(learned)
            links = self._dialer.links()
            if links and not self.sheds:
                self._turn = (self._turn + 1) % len(links)
                links[self._turn].send(_loose(Entries(self.live())))
            await asyncio.sleep(SHED_GOSSIP_SECONDS if self.sheds else GOSSIP_SECONDS)

    def _send_all(self, *bodies: Body) -> None:
        frame = _loose(*bodies)
        for link in self._dialer.links():
            link.send(frame)

    def _tell_soon(self) -> None:
        if not self._telling:
            self._telling = True
            asyncio.get_running_loop().call_later(TELL_PAUSE, self._tell_changes)

    def _tell_changes(self) -> None:
        """Tell targets which entries have joined or gone since they were told."""
        self._telling = False
        live = {entry.name: entry for entry in self.live()}
        joined = [entry for entry in live.values() if self._told.get(entry.name) != entry]
        gone = [name for name in self._told if name not in live]
        if joined or gone:
            self._told = live
            self._owner.tell_targets(EntryChanges(joined, gone))

    # The configuration.

    def _take_version(self, link: PeerLink, told: CatalogVersion) -> None:
        if told.wanted:
            self._askers[link.peer] = link
            self._spread.asked(link.peer, told.version)
        else:
            self._spread.told(clock.now(), link.peer, told.version)
        self._spread_when_due()

    def _unpack(self, link: PeerLink, packed: PackedCatalog) -> None:
        try:
            catalog = unpack(packed)
        except CatalogPackError as problem:
            self._owner.refuse(Refusal(InputKind.CONFIGURATION, link.peer, str(problem)))
            return
        self._owner.adopt(catalog, link.peer)

    def _spread_when_due(self) -> None:
        due = self._spread.due()
        if due is None:
            return
        due = max(due, clock.now() + SPREAD_PAUSE)
        if self._spreading is not None:
            if self._spread_due <= due:
                return
            self._spreading.cancel()
        self._spread_due = due
        loop = asyncio.get_running_loop()
        self._spreading = loop.call_later(due - clock.now(), self._spread_catalog)

    def _spread_catalog(self) -> None:
        """Ask for a configuration, or hand a copy out, if it is time."""
        self._spreading = None
        for step in self._spread.act(clock.now(), hands_out=not self.sheds):
            match step:
                case AskFor():
                    self._ask_for_catalog(step.peer)
                case HandOut():
                    self._hand_out_catalog(step.peer)
        self._spread_when_due()

    def _ask_for_catalog(self, peer: str) -> None:
        question = CatalogVersion(self._owner.catalog.version, wanted=True)
        for link in self._dialer.links():
            if link.peer == peer:
                link.send(_loose(question))
                self._owner.asked_for_catalog(peer)
                return

    def _hand_out_catalog(self, peer: str) -> None:
        catalog = self._owner.catalog
        if self._packed.version != catalog.version:
            self._packed = pack(catalog)
        size = len(self._packed.content)
        self._askers.pop(peer).send(_loose(self._packed))
        self._spread.handed_out(clock.now(), size)
        self._owner.handed_out_catalog(peer, size)

    # Connections that this entry has made.

    def opened(self, link: PeerLink) -> None:
        """Greet an entry that was dialled; tell it all others, lost runners and kinds of hosts."""
        link.send(self._greeting)
        speeds = self._owner.speeds.known()
        known: list[Body] = [*self._owner.known_losses(), *([speeds] if speeds else [])]
        version = CatalogVersion(self._owner.catalog.version)
        link.send(_loose(Entries(self.live()), version, *known))

    def greeted(self, link: PeerLink, hello: Hello) -> None:
        """Take the greeting of an entry that was dialled."""
        self.note(EntryAddress(hello.name, hello.address, hello.incarnation, hello.hall))

    def heard(self, link: PeerLink, frame: Frame) -> None:
        """Take what another entry says, over whichever connection."""
        for body in frame.bodies:
            self._take(link, body)
        known = self._known.get(link.peer)
        if known is not None:
            self._known[link.peer] = (known[0], clock.now())

    def _take(self, link: PeerLink, body: Body) -> None:
        match body:
            case Entries():
                for entry in readable(body.entries, link.peer, self._owner.refuse):
                    self.met(entry)
            case EvacuationUpdate():
                if self._owner.evacuations.outdates(body.evacuated):
                    link.send(_loose(EvacuationUpdate(self._owner.evacuations.known)))
                self._owner.learn(body.evacuated, link.peer)
            case RunnerLost() | RunnerReturned() | RunnerSilent():
                self._owner.told_loss(body, link.peer)
            case CatalogUpdate():
                self._owner.adopt(body.catalog, link.peer)
            case PackedCatalog():
                self._unpack(link, body)
            case CatalogVersion():
                self._take_version(link, body)
            case _:
                self._take_figures(link, body)

    def _take_figures(self, link: PeerLink, body: Body) -> None:
        match body:
            case SpeedUpdate():
                self._owner.told_speeds(body, link.peer)
            case SessionCount():
                self._owner.told_targets(body.count, link.peer)
            case _:
                pass

    def refused(self, link: PeerLink, refusal: Refusal) -> None:
        """Take note of a message that can't be read."""
        self._owner.refuse(refusal)

    def closed(self, link: PeerLink) -> None:
        """Make another connection."""
        self._spread.left(link.peer)
        self._askers.pop(link.peer, None)
        self._dialer.lost(link)


def _loose(*bodies: Body) -> Frame:
    """Return a frame outside any session."""
    return Frame(1, 0, 0, 0, list(bodies))

"""What an entry knows of the other entries, and says to them: who lives, the operator's word."""

import asyncio
from typing import Protocol, final

from paddleshunt_core.leased.catalog import Catalog
from paddleshunt_core.leased.evacuation import EvacuatedHalls, Evacuations
from paddleshunt_core.leased.wire import (
    Body,
    CatalogNews,
    CatalogVersion,
    Entries,
    EntryAddress,
    EntryChanges,
    EvacuationNews,
    Frame,
    Hello,
    LossNews,
    RunnerLost,
    RunnerReturned,
    RunnerSilent,
)

from paddleshunt_node.aio import clock
from paddleshunt_node.aio.dialer import Dialer
from paddleshunt_node.aio.framing import PeerLink

GOSSIP_SECONDS = 0.4
"""Seconds between two messages to each other entry."""

ENTRY_FRESH = 1.5
"""Seconds since an entry was heard for which it counts as alive."""

TELL_PAUSE = 0.05
"""Seconds for which newly met entries are collected before targets are told of them."""


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

    def learn(self, evacuated: EvacuatedHalls, source: str) -> None:
        """Take the evacuated halls that another entry knows."""

    def known_losses(self) -> list[RunnerLost]:
        """Return what is remembered of lost runners."""

    def told_loss(self, news: LossNews, source: str) -> None:
        """Take another entry's word on a lost runner."""

    def found(self, entry: EntryAddress) -> None:
        """Take note of an entry that is new, or has moved."""

    def tell_targets(self, changes: EntryChanges) -> None:
        """Tell the targets which entries have joined or gone."""


@final
class EntryPeers:
    """The other entries, and the connections that this entry has made to them."""

    def __init__(
        self, owner: PeerOwner, own: EntryAddress, greeting: Hello, silence: float
    ) -> None:
        self._owner = owner
        self._own = own
        self._greeting = greeting
        self._known: dict[str, tuple[EntryAddress, float]] = {}
        self._told: dict[str, EntryAddress] = {own.name: own}
        """The entries that targets have been told of."""
        self._telling = False
        self._turn = 0
        self._dialer = Dialer(self, own.address, silence, lambda _: True)

    def seeds(self, addresses: set[str]) -> None:
        """Try these addresses for ever."""
        self._dialer.seeds(addresses)

    def names(self) -> list[str]:
        """Return the names of all entries that were met."""
        return sorted(self._known)

    def live(self) -> list[EntryAddress]:
        """Return the entries that were heard lately, and this one."""
        now = clock.now()
        live = [entry for entry, at in self._known.values() if now < at + ENTRY_FRESH]
        return sorted([*live, self._own])

    def told(self) -> list[EntryAddress]:
        """Return the entries that targets have been told of; what changes is told to all."""
        return sorted(self._told.values())

    def met(self, entry: EntryAddress) -> None:
        """Dial an entry that was heard of."""
        self._dialer.want(clock.now(), entry.address)

    def note(self, entry: EntryAddress) -> None:
        """Take an entry's greeting."""
        known = self._known.get(entry.name)
        self._known[entry.name] = (entry, clock.now())
        self.met(entry)
        if known is None or known[0] != entry:
            self._owner.found(entry)
            self._send_all(Entries([entry]))
            self._tell_soon()

    def tell_catalog(self, catalog: Catalog) -> None:
        """Hand a configuration on to all."""
        self._send_all(CatalogNews(catalog))

    def tell_evacuations(self, evacuated: EvacuatedHalls) -> None:
        """Tell all which halls are evacuated."""
        self._send_all(EvacuationNews(evacuated))

    def tell_loss(self, news: LossNews) -> None:
        """Hand a word on a lost runner on to all."""
        self._send_all(news)

    async def dial_for_ever(self) -> None:
        """Keep a connection to each entry until cancelled."""
        await self._dialer.run()

    async def gossip_for_ever(self) -> None:
        """Tell entries and targets what is known until cancelled.

        A round tells each entry no more than the versions, so that its bytes grow with the entries
        and not with their square. Who lives is told when an entry is met; one other entry a round
        gets the whole list, in turn, in case it missed something.
        """
        while True:
            self._tell_changes()
            self._send_all(
                CatalogVersion(self._owner.catalog.version),
                EvacuationNews(self._owner.evacuations.known),
            )
            links = self._dialer.links()
            if links:
                self._turn = (self._turn + 1) % len(links)
                links[self._turn].send(_loose(Entries(self.live())))
            await asyncio.sleep(GOSSIP_SECONDS)

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

    # Connections that this entry has made.

    def opened(self, link: PeerLink) -> None:
        """Greet an entry that was dialled, and tell it all others and which runners were lost."""
        link.send(self._greeting)
        link.send(_loose(Entries(self.live()), *self._owner.known_losses()))

    def greeted(self, link: PeerLink, hello: Hello) -> None:
        """Take the greeting of an entry that was dialled."""
        self.note(EntryAddress(hello.name, hello.address, hello.life))

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
                for entry in body.entries:
                    self.met(entry)
            case EvacuationNews():
                if self._owner.evacuations.outdates(body.evacuated):
                    link.send(_loose(EvacuationNews(self._owner.evacuations.known)))
                self._owner.learn(body.evacuated, link.peer)
            case RunnerLost() | RunnerReturned() | RunnerSilent():
                self._owner.told_loss(body, link.peer)
            case CatalogNews():
                self._owner.adopt(body.catalog, link.peer)
            case CatalogVersion():
                if body.version < self._owner.catalog.version:
                    link.send(_loose(CatalogNews(self._owner.catalog)))
            case _:
                pass

    def closed(self, link: PeerLink) -> None:
        """Make another connection."""
        self._dialer.lost(link)


def _loose(*bodies: Body) -> Frame:
    """Return a frame outside any session."""
    return Frame(1, 0, 0, 0, list(bodies))

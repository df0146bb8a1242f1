"""What an entry knows of the other entries, and says to them: who lives, the operator's word."""

import asyncio
from time import monotonic
from typing import Protocol, final

from paddleshunt_core.leased.catalog import Catalog
from paddleshunt_core.leased.evacuation import EvacuatedHalls, Evacuations
from paddleshunt_core.leased.wire import (
    Body,
    CatalogNews,
    CatalogVersion,
    Entries,
    EntryAddress,
    EvacuationNews,
    Frame,
    Hello,
)

from paddleshunt_node.aio.dialer import Dialer
from paddleshunt_node.aio.framing import PeerLink

GOSSIP_SECONDS = 0.4
"""Seconds between two messages to each other entry."""

ENTRY_FRESH = 1.5
"""Seconds since an entry was heard for which it counts as alive."""

TELL_SECONDS = 5.0
"""Seconds between two messages that tell a target of all entries."""


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

    def found(self, entry: EntryAddress) -> None:
        """Take note of an entry that is new, or has moved."""

    def tell_targets(self, live: list[EntryAddress]) -> None:
        """Tell the targets which entries live."""


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
        self._dialer = Dialer(self, own.address, silence, lambda _: True)

    def seeds(self, addresses: set[str]) -> None:
        """Try these addresses for ever."""
        self._dialer.seeds(addresses)

    def names(self) -> list[str]:
        """Return the names of all entries that were met."""
        return sorted(self._known)

    def live(self) -> list[EntryAddress]:
        """Return the entries that were heard lately, and this one."""
        now = monotonic()
        live = [entry for entry, at in self._known.values() if now < at + ENTRY_FRESH]
        return sorted([*live, self._own])

    def met(self, entry: EntryAddress) -> None:
        """Dial an entry that was heard of."""
        self._dialer.want(monotonic(), entry.address)

    def note(self, entry: EntryAddress) -> None:
        """Take an entry's greeting."""
        known = self._known.get(entry.name)
        self._known[entry.name] = (entry, monotonic())
        self.met(entry)
        if known is None or known[0] != entry:
            self._owner.found(entry)
            self._owner.tell_targets(self.live())

    def tell_catalog(self, catalog: Catalog) -> None:
        """Hand a configuration on to all."""
        news = _loose(CatalogNews(catalog))
        for link in self._dialer.links():
            link.send(news)

    def tell_evacuations(self, evacuated: EvacuatedHalls) -> None:
        """Tell all which halls are evacuated."""
        news = _loose(EvacuationNews(evacuated))
        for link in self._dialer.links():
            link.send(news)

    async def dial_for_ever(self) -> None:
        """Keep a connection to each entry until cancelled."""
        await self._dialer.run()

    async def gossip_for_ever(self) -> None:
        """Tell entries and targets who lives until cancelled."""
        told: list[EntryAddress] = []
        due = 0.0
        while True:
            live = self.live()
            news = _loose(Entries(live), CatalogVersion(self._owner.catalog.version))
            for link in self._dialer.links():
                link.send(news)
            if live != told or monotonic() > due:
                told = live
                due = monotonic() + TELL_SECONDS
                self._owner.tell_targets(live)
            await asyncio.sleep(GOSSIP_SECONDS)

    # Connections that this entry has made.

    def opened(self, link: PeerLink) -> None:
        """Greet an entry that was dialled."""
        link.send(self._greeting)

    def greeted(self, link: PeerLink, hello: Hello) -> None:
        """Take the greeting of an entry that was dialled."""
        self.note(EntryAddress(hello.name, hello.address, hello.life))

    def heard(self, link: PeerLink, frame: Frame) -> None:
        """Take what another entry says, over whichever connection."""
        for body in frame.bodies:
            match body:
                case Entries():
                    for entry in body.entries:
                        self.met(entry)
                case EvacuationNews():
                    if self._owner.evacuations.outdates(body.evacuated):
                        link.send(_loose(EvacuationNews(self._owner.evacuations.known)))
                    self._owner.learn(body.evacuated, link.peer)
                case CatalogNews():
                    self._owner.adopt(body.catalog, link.peer)
                case CatalogVersion():
                    if body.version < self._owner.catalog.version:
                        link.send(_loose(CatalogNews(self._owner.catalog)))
                case _:
                    pass
        known = self._known.get(link.peer)
        if known is not None:
            self._known[link.peer] = (known[0], monotonic())

    def closed(self, link: PeerLink) -> None:
        """Ignore the end of a connection; the dialler makes another."""


def _loose(*bodies: Body) -> Frame:
    """Return a frame outside any session."""
    return Frame(1, 0, 0, 0, list(bodies))

"""What an entry does with the store: follows the operator's word, and announces its address."""

import asyncio
import contextlib
from typing import Protocol, final

from paddleshunt_core.leased.catalog import Catalog
from paddleshunt_core.leased.evacuation import EvacuatedHalls
from paddleshunt_core.leased.wire import EntryAddress

from paddleshunt_node.aio.ports import StorePort, StoreUnavailableError
from paddleshunt_node.aio.process import ProcessContext

ANNOUNCE_SECONDS = 12.0
"""Seconds for which the store keeps this entry's address."""

STORE_RETRY_SECONDS = 0.3
"""Seconds before the store is called again after a failure."""


class Owner(Protocol):
    """The entry that what was found is for."""

    def adopt_catalog(self, catalog: Catalog, source: str) -> None:
        """Take a configuration."""

    def apply_evacuations(self, evacuated: EvacuatedHalls, source: str) -> None:
        """Take the halls that are evacuated."""

    def lacks_entries(self) -> bool:
        """Whether other entries are looked for."""

    def entry_discovered(self, entry: EntryAddress) -> None:
        """Take another entry's address."""


@final
class StoreFollower:
    """Calls the store for one entry; its loops end when they are cancelled."""

    def __init__(
        self, store: StorePort, context: ProcessContext, entry: EntryAddress, owner: Owner
    ) -> None:
        self._store = store
        self._context = context
        self._entry = entry
        self._owner = owner
        self._regained = asyncio.Event()

    async def follow(self) -> None:
        """Hand on each new configuration and evacuation until cancelled."""
        reachable = True
        while True:
            try:
                word = await self._store.next_update()
            except StoreUnavailableError as problem:
                if reachable:
                    self._context.event("store_lost", reason=str(problem))
                reachable = False
                await asyncio.sleep(STORE_RETRY_SECONDS)
                continue
            if not reachable:
                self._context.event("store_regained")
                self._regained.set()
            reachable = True
            # Evacuations first: with a configuration the first job may be placed.
            if word.evacuated is not None:
                self._owner.apply_evacuations(word.evacuated, "store")
            if word.catalog is not None:
                self._owner.adopt_catalog(word.catalog, "store")

    async def announce(self) -> None:
        """Keep this entry's address in the store; look for others there if none was met.

        A store that was away may have let the address lapse, so it is told again at its return.
        """
        while True:
            self._regained.clear()
            try:
                await self._store.announce(self._entry, ANNOUNCE_SECONDS)
                if self._owner.lacks_entries():
                    for known in await self._store.entries():
                        self._owner.entry_discovered(known)
            except StoreUnavailableError:
                await asyncio.sleep(STORE_RETRY_SECONDS)
                continue
            await self._until_due()

    async def _until_due(self) -> None:
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self._regained.wait(), ANNOUNCE_SECONDS / 3)

    async def withdraw(self) -> None:
        """Take this entry's address out of the store."""
        try:
            await self._store.withdraw()
        except StoreUnavailableError as problem:
            self._context.event("store_unavailable", reason=str(problem))

"""An entry's use of the store: following the operator's updates and announcing its address."""

import asyncio
import contextlib
from typing import Protocol, final

from paddleshunt_core.leased.catalog import Catalog
from paddleshunt_core.leased.evacuation import EvacuatedHalls
from paddleshunt_core.leased.wire import EntryAddress

from paddleshunt_node.aio.ports import StorePort, StoreUnavailableError
from paddleshunt_node.aio.process import ProcessContext

ADDRESS_TTL_SECONDS = 12.0
"""Lifetime of this entry's address in the store, in seconds."""

STORE_RETRY_SECONDS = 0.3
"""Seconds before the store is called again after a failure."""


class Owner(Protocol):
    """The entry that the updates are passed to."""

    def adopt_catalog(self, catalog: Catalog, source: str) -> None:
        """Adopt a configuration if it is newer."""

    def apply_evacuations(self, evacuated: EvacuatedHalls, source: str) -> None:
        """Apply a list of evacuated halls if it is newer."""

    def lacks_entries(self) -> bool:
        """Whether no other entry is known."""

    def entry_discovered(self, entry: EntryAddress) -> None:
        """Dial another entry's address."""


@final
class StoreFollower:
    """Follows the store for one entry."""

    def __init__(
        self, store: StorePort, context: ProcessContext, entry: EntryAddress, owner: Owner
    ) -> None:
        self._store = store
        self._context = context
        self._entry = entry
        self._owner = owner
        self._regained = asyncio.Event()
        """Set when the store has become reachable again."""

    async def follow(self) -> None:
        """Pass each new configuration and evacuation to the owner until cancelled."""
        reachable = True
        while True:
            try:
                update = await self._store.next_update()
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
            # Evacuations first: adopting a configuration may place held jobs.
            if update.evacuated is not None:
                self._owner.apply_evacuations(update.evacuated, "store")
            if update.catalog is not None:
                self._owner.adopt_catalog(update.catalog, "store")

    async def announce(self) -> None:
        """Keep this entry's address in the store until cancelled.

        If no other entry is known, read their addresses too. The address is written again when the
        store becomes reachable, as it may have expired.
        """
        while True:
            self._regained.clear()
            try:
                await self._store.announce(self._entry, ADDRESS_TTL_SECONDS)
                if self._owner.lacks_entries():
                    for entry in await self._store.entries():
                        self._owner.entry_discovered(entry)
            except StoreUnavailableError:
                await asyncio.sleep(STORE_RETRY_SECONDS)
                continue
            await self._wait_for_next_announcement()

    async def _wait_for_next_announcement(self) -> None:
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self._regained.wait(), ADDRESS_TTL_SECONDS / 3)

    async def withdraw(self) -> None:
        """Remove this entry's address from the store."""
        try:
            await self._store.withdraw()
        except StoreUnavailableError as problem:
            self._context.event("store_unavailable", reason=str(problem))

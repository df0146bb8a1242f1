"""Threads that watch the platform's store and poll its list of hosts."""

import queue
from collections.abc import Callable
from threading import Event, Thread
from typing import final

import msgspec
from paddleshunt_core.allotments import Allotment
from paddleshunt_core.members import Host
from paddleshunt_core.table import TableDocument
from paddleshunt_platform.hosts import HostList, HostsError
from paddleshunt_platform.store import (
    ABSENT,
    ALLOTMENT_PREFIX,
    KEY_PREFIX,
    TABLE_KEY,
    Listing,
    Store,
    Value,
    Written,
    allotment_key,
)

from paddleshunt_node import logs

HOSTS_SECONDS = 2.0
"""Minimum interval between reads of the host list, in seconds."""

HOSTS_PER_SECOND = 20
"""Maximum average rate of hosts read per second; a long list is read less often."""

RETRY_SECONDS = 1.0
"""Delay before reading the store again after a failure."""


@final
class StoreThreads:
    """Reads and watches the store on one thread, and writes allotments on another."""

    def __init__(
        self,
        store: Store,
        on_table: Callable[[TableDocument | None], None],
        on_allotment: Callable[[Allotment], None],
    ) -> None:
        self._store = store
        self._on_table = on_table
        self._on_allotment = on_allotment
        self._versions: dict[str, int] = {}
        self._writes: queue.SimpleQueue[Allotment] = queue.SimpleQueue()
        self._stopped = Event()
        self.reachable = False

    def start(self) -> None:
        """Start watching the store."""
        Thread(target=self._watch, name="store", daemon=True).start()
        Thread(target=self._write, name="store-writes", daemon=True).start()

    def write(self, allotment: Allotment) -> None:
        """Queue an allotment for writing; the watch reports it if the write succeeds."""
        self._writes.put(allotment)

    def stop(self) -> None:
        """Ask the threads to stop, without waiting for them."""
        self._stopped.set()

    def _watch(self) -> None:
        while not self._stopped.is_set():
            listing = self._store.list(KEY_PREFIX)
            if not isinstance(listing, Listing):
                self._set_reachable(False, listing.reason)
                self._stopped.wait(RETRY_SECONDS)
                continue
            self._set_reachable(True, "")
            self._handle_listing(listing)
            for item in self._store.watch(KEY_PREFIX, listing.revision):
                if isinstance(item, Value):
                    self._handle_value(item)

    def _handle_listing(self, listing: Listing) -> None:
        for value in listing.values:
            self._handle_value(value)
        if all(value.key != TABLE_KEY for value in listing.values):
            self._on_table(None)

    def _handle_value(self, value: Value) -> None:
        self._versions[value.key] = value.version
        try:
            if value.key == TABLE_KEY:
                self._on_table(msgspec.json.decode(value.data, type=TableDocument))
            elif value.key.startswith(ALLOTMENT_PREFIX):
                self._on_allotment(msgspec.json.decode(value.data, type=Allotment))
        except msgspec.MsgspecError as problem:
            logs.event("store_value_refused", key=value.key, reason=str(problem))

    def _write(self) -> None:
        while not self._stopped.is_set():
            allotment = self._writes.get()
            key = allotment_key(allotment.service, allotment.site)
            version = self._versions.get(key, ABSENT)
            result = self._store.compare_and_swap(key, msgspec.json.encode(allotment), version)
            outcome = "written" if isinstance(result, Written) else repr(result)[:200]
            logs.event(
                "allotment_write",
                service=allotment.service,
                site=allotment.site,
                revision=allotment.revision,
                outcome=outcome,
            )

    def _set_reachable(self, reachable: bool, reason: str) -> None:
        if reachable != self.reachable:
            logs.event("store_reachable" if reachable else "store_unreachable", reason=reason)
        self.reachable = reachable


@final
class HostsThread:
    """Reads the host list periodically while `wanted` returns true."""

    def __init__(
        self,
        hosts: HostList,
        on_hosts: Callable[[list[Host]], None],
        wanted: Callable[[], bool] = lambda: True,
    ) -> None:
        self._hosts = hosts
        self._on_hosts = on_hosts
        self._wanted = wanted
        self._stopped = Event()

    def start(self) -> None:
        """Start polling the list."""
        Thread(target=self._run, name="hosts", daemon=True).start()

    def stop(self) -> None:
        """Ask the thread to stop, without waiting for it."""
        self._stopped.set()

    def _run(self) -> None:
        while not self._stopped.is_set():
            count = self._fetch() if self._wanted() else 0
            self._stopped.wait(max(HOSTS_SECONDS, count / HOSTS_PER_SECOND))

    def _fetch(self) -> int:
        """Read the list and pass it to `on_hosts`; return the number of hosts."""
        found = self._hosts.fetch()
        if isinstance(found, HostsError):
            logs.event("hosts_unreachable", reason=found.reason)
            return 0
        self._on_hosts(found)
        return len(found)

"""An index of the configured queues by host name, to find the queue of each request quickly."""

from typing import final

from paddleshunt_core.leased.catalog import EMPTY_CATALOG, Catalog, Queue


@final
class QueueIndex:
    """The queues of one configuration, indexed by host name."""

    def __init__(self, catalog: Catalog = EMPTY_CATALOG) -> None:
        self._catalog = catalog
        self._by_host: dict[str, list[Queue]] = {}
        for queue in catalog.queues:
            self._by_host.setdefault(queue.host, []).append(queue)
        for queues in self._by_host.values():
            queues.sort(key=lambda queue: len(queue.prefix), reverse=True)

    def is_of(self, catalog: Catalog) -> bool:
        """Whether the index was built from this configuration."""
        return self._catalog is catalog

    def find(self, host: str, path: str) -> Queue | None:
        """Return the queue of `host` whose prefix is the longest match of `path`, if any."""
        queues = self._by_host.get(host, [])
        return next((queue for queue in queues if path.startswith(queue.prefix)), None)

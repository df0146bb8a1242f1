"""Finds the queue of a request; each request is looked up, and there may be thousands of queues."""

from typing import final

from paddleshunt_core.leased.catalog import EMPTY, Catalog, Queue


@final
class QueueIndex:
    """The queues of one configuration, by their hosts."""

    def __init__(self, catalog: Catalog = EMPTY) -> None:
        self._catalog = catalog
        self._by_host: dict[str, list[Queue]] = {}
        for queue in catalog.queues:
            self._by_host.setdefault(queue.host, []).append(queue)
        for queues in self._by_host.values():
            queues.sort(key=lambda queue: len(queue.prefix), reverse=True)

    def is_of(self, catalog: Catalog) -> bool:
        """Whether it was made of this configuration."""
        return self._catalog is catalog

    def find(self, host: str, path: str) -> Queue | None:
        """Return the queue of `host` with the longest prefix of `path`."""
        queues = self._by_host.get(host, [])
        return next((queue for queue in queues if path.startswith(queue.prefix)), None)

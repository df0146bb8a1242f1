"""Distribution of the configuration between entries.

The store notifies each entry of a new configuration. Entries send each other only the number of the
version in force; one that is still behind after a short delay requests the whole configuration from
one other entry. An entry sends one copy after another, at a limited share of its own link, so the
bytes on each link grow with the configuration and not with the number of entries. Each receiver can
send copies in turn, so that many are served soon even if the store notified only one.
"""

from collections import deque
from dataclasses import dataclass
from random import Random
from typing import final

REQUEST_DELAY_SECONDS = (0.1, 0.2)
"""Range of the delay before an entry that is behind requests a copy, in seconds.

The store usually delivers sooner; the random delay spreads the requests of entries that it doesn't
serve.
"""

ANSWER_TIMEOUT_SECONDS = 0.4
"""Seconds after which another entry is asked, at first; doubled with each request."""

MAX_ANSWER_TIMEOUT_SECONDS = 3.2
"""Upper limit of that time, in seconds."""

LINK_MBPS = 25.0
"""Default bandwidth of an entry's own link, in megabits per second."""

LINK_SHARE = 0.25
"""Share of an entry's link that copies may use, besides sessions and answers."""

BYTES_PER_MEGABIT = 125_000
"""Bytes per second of a link with a bandwidth of one megabit per second."""


@final
@dataclass(frozen=True, slots=True)
class RequestCatalog:
    """Request to be sent to this peer for its configuration."""

    peer: str


@final
@dataclass(frozen=True, slots=True)
class SendCatalog:
    """Order to send this peer the whole configuration in force."""

    peer: str


@final
class CatalogSync:
    """State machine of one entry's part in the distribution. Times are in monotonic seconds.

    `link_mbps` is the bandwidth of its own link.
    """

    def __init__(self, rng: Random, link_mbps: float = LINK_MBPS) -> None:
        self._rng = rng
        self._bytes_per_second = link_mbps * BYTES_PER_MEGABIT * LINK_SHARE
        self._version = 0
        self._versions: dict[str, int] = {}
        """By peer, the version that it last reported."""
        self._request_at: float | None = None
        self._asked_peers: set[str] = set()
        """Peers asked since the last configuration was adopted."""
        self._answer_timeout = ANSWER_TIMEOUT_SECONDS
        self._requests: deque[str] = deque()
        """Peers that have requested a copy, in order of arrival."""
        self._idle_at = 0.0
        """When the copies sent so far have used up the link's share."""

    def set_version(self, version: int) -> None:
        """Record that a version is in force here."""
        self._version = version
        self._asked_peers.clear()
        self._answer_timeout = ANSWER_TIMEOUT_SECONDS
        if not self._newer():
            self._request_at = None

    def on_version(self, now: float, peer: str, version: int) -> None:
        """Record the version in force at a peer."""
        self._versions[peer] = version
        if version >= self._version and peer in self._requests:
            self._requests.remove(peer)
        if version > self._version and self._request_at is None:
            self._request_at = now + self._rng.uniform(*REQUEST_DELAY_SECONDS)

    def on_request(self, peer: str, version: int) -> None:
        """Queue the request of a peer that has an older version than this entry."""
        self._versions[peer] = version
        if version < self._version and peer not in self._requests:
            self._requests.append(peer)

    def copy_sent(self, now: float, size: int) -> None:
        """Record that a copy of `size` bytes was sent."""
        self._idle_at = now + size / self._bytes_per_second

    def peer_left(self, peer: str) -> None:
        """Drop a peer whose connection has closed."""
        self._versions.pop(peer, None)
        if peer in self._requests:
            self._requests.remove(peer)

    def due(self) -> float | None:
        """Return when to call `act` next; None if there is nothing to do."""
        times = [] if self._request_at is None else [self._request_at]
        if self._requests:
            times.append(self._idle_at)
        return min(times, default=None)

    def act(self, now: float, *, may_send: bool = True) -> list[RequestCatalog | SendCatalog]:
        """Return what to send now; the caller reports each sent copy with `copy_sent`.

        Copies are withheld unless `may_send`, as on a link under pressure.
        """
        steps = self._request(now)
        if may_send and self._requests and now >= self._idle_at:
            steps.append(SendCatalog(self._requests.popleft()))
        return steps

    def _request(self, now: float) -> list[RequestCatalog | SendCatalog]:
        if self._request_at is None or now < self._request_at:
            return []
        newer = self._newer()
        if not newer:
            self._request_at = None
            return []
        unasked = [peer for peer in newer if peer not in self._asked_peers]
        if not unasked:
            self._asked_peers.clear()
        peer = self._rng.choice(unasked or newer)
        self._asked_peers.add(peer)
        self._request_at = now + self._answer_timeout
        self._answer_timeout = min(MAX_ANSWER_TIMEOUT_SECONDS, 2 * self._answer_timeout)
        return [RequestCatalog(peer)]

    def _newer(self) -> list[str]:
        """Return the peers with a newer version than this entry's."""
        return sorted(p for p, version in self._versions.items() if version > self._version)

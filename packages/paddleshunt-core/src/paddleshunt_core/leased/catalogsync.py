"""How a configuration gets from entry to entry: who asks whom for it, and who is served when.

The store tells each entry of a new configuration. Entries tell one another only the versions that
are in force there; one that is still behind after a moment asks one other entry for the whole. An
entry hands out one copy after the other, at no more than a share of its own link, so that the
bytes at each link grow with the configuration and not with the number of entries. Who has got a
copy hands it on, so that many are served soon even if the store told only one.
"""

from collections import deque
from dataclasses import dataclass
from random import Random
from typing import final

ASK_SECONDS = (0.1, 0.2)
"""Least and longest time for which an entry that is behind waits for the store's word.

The store answers a watch in milliseconds; entries that it turns away don't all ask at once.
"""

ANSWER_SECONDS = 0.4
"""Seconds after which another entry is asked, at first; with each question twice as long."""

MAX_ANSWER_SECONDS = 3.2
"""The longest such time."""

LINK_MBPS = 25.0
"""Megabits a second of an entry's own link, if its settings don't say."""

LINK_SHARE = 0.25
"""Share of an entry's link that copies may take: sessions and answers go on beside them."""

BYTES_A_MEGABIT = 125_000
"""Bytes a second of a link that carries a megabit a second."""


@final
@dataclass(frozen=True, slots=True)
class RequestCatalog:
    """Ask this peer for its configuration."""

    peer: str


@final
@dataclass(frozen=True, slots=True)
class SendCatalog:
    """Send this peer the whole configuration in force."""

    peer: str


@final
class CatalogSync:
    """One entry's part. Times are steady seconds; `link_mbps` is what its own link carries."""

    def __init__(self, rng: Random, link_mbps: float = LINK_MBPS) -> None:
        self._rng = rng
        self._rate = link_mbps * BYTES_A_MEGABIT * LINK_SHARE
        self._version = 0
        self._versions: dict[str, int] = {}
        """By peer, the version that it said is in force there."""
        self._ask_at: float | None = None
        self._asked: set[str] = set()
        """Peers that were asked since the last configuration was adopted."""
        self._patience = ANSWER_SECONDS
        self._waiting: deque[str] = deque()
        """Peers that have asked, the first first."""
        self._free_at = 0.0
        """When the copies that were sent have passed the link's share."""

    def set_version(self, version: int) -> None:
        """Note that a version is in force here."""
        self._version = version
        self._asked.clear()
        self._patience = ANSWER_SECONDS
        if not self._newer():
            self._ask_at = None

    def on_version(self, now: float, peer: str, version: int) -> None:
        """Take a peer's word on the version in force there."""
        self._versions[peer] = version
        if version >= self._version and peer in self._waiting:
            self._waiting.remove(peer)
        if version > self._version and self._ask_at is None:
            self._ask_at = now + self._rng.uniform(*ASK_SECONDS)

    def on_request(self, peer: str, version: int) -> None:
        """Take the question of a peer that has an older version for the one in force here."""
        self._versions[peer] = version
        if version < self._version and peer not in self._waiting:
            self._waiting.append(peer)

    def handed_out(self, now: float, size: int) -> None:
        """Note that a copy of `size` bytes was sent."""
        self._free_at = now + size / self._rate

    def peer_left(self, peer: str) -> None:
        """Forget a peer whose connection has ended."""
        self._versions.pop(peer, None)
        if peer in self._waiting:
            self._waiting.remove(peer)

    def due(self) -> float | None:
        """Return when `act` is due next; None if nothing is to be done."""
        times = [] if self._ask_at is None else [self._ask_at]
        if self._waiting:
            times.append(self._free_at)
        return min(times, default=None)

    def act(self, now: float, *, may_send: bool = True) -> list[RequestCatalog | SendCatalog]:
        """Return what is to be sent now; `handed_out` follows for a copy.

        `may_send`: copies may be sent; they wait while the own link is pressed.
        """
        steps = self._ask(now)
        if may_send and self._waiting and now >= self._free_at:
            steps.append(SendCatalog(self._waiting.popleft()))
        return steps

    def _ask(self, now: float) -> list[RequestCatalog | SendCatalog]:
        if self._ask_at is None or now < self._ask_at:
            return []
        newer = self._newer()
        if not newer:
            self._ask_at = None
            return []
        fresh = [peer for peer in newer if peer not in self._asked]
        if not fresh:
            self._asked.clear()
        peer = self._rng.choice(fresh or newer)
        self._asked.add(peer)
        self._ask_at = now + self._patience
        self._patience = min(MAX_ANSWER_SECONDS, 2 * self._patience)
        return [RequestCatalog(peer)]

    def _newer(self) -> list[str]:
        """Return the peers that have a newer version than this entry."""
        return sorted(p for p, version in self._versions.items() if version > self._version)

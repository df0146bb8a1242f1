"""Keeps connections to a changing set of addresses."""

import asyncio
from collections.abc import Callable
from typing import final

from paddleshunt_node.aio import clock
from paddleshunt_node.aio.framing import PeerHandler, PeerLink
from paddleshunt_node.aio.sockets import split_address

CONNECT_TIMEOUT = 0.4
"""Seconds for a connection to be established."""

RETRY_SECONDS = 0.25
"""Seconds between two attempts at one address."""

CONNECTED_RETRY_SECONDS = 1.0
"""Seconds between two rounds while no connection is missing.

New addresses, and those whose connection ends, are dialled at once.
"""

DISCONNECTED_RETRY_SECONDS = 0.08
"""Seconds between two rounds while no connection is open.

That is the case after a loss of all power, and nothing works without a connection. An entry starts
in 0.4 s; five attempts in that time cost less than the messages of one job.
"""

ADDRESS_EXPIRY_SECONDS = 20.0
"""Seconds after which an unconnected address that isn't a seed is dropped."""


@final
class Dialer:
    """Keeps one connection to each wanted address, and dials again when it ends.

    `own` is never dialled. `ack_timeout` is the connections' time-out of unacknowledged data, in
    seconds. `may_dial` is called before each attempt, and `on_failure` after a failed one.
    """

    def __init__(
        self,
        handler: PeerHandler,
        own: str,
        ack_timeout: float,
        may_dial: Callable[[str], bool],
        on_failure: Callable[[str], None] = lambda _: None,
    ) -> None:
        self._handler = handler
        self._own = own
        self._ack_timeout = ack_timeout
        self._may_dial = may_dial
        self._on_failure = on_failure
        self._wanted: dict[str, float] = {}
        """When each address was last added or refreshed."""
        self._seeds: set[str] = set()
        self._links: dict[str, PeerLink] = {}
        self._dialing: set[str] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    def set_seeds(self, addresses: set[str]) -> None:
        """Replace the addresses that are always dialled."""
        self._seeds = addresses - {self._own}

    def add(self, now: float, address: str) -> None:
        """Add an address, and dial it at once."""
        if address != self._own:
            self._wanted[address] = now
            self._dial_if_missing(address)

    def refresh(self, now: float, addresses: list[str]) -> None:
        """Restart the expiry of addresses, and add those that are unknown."""
        for address in addresses:
            if address != self._own:
                self._wanted[address] = now

    def links(self) -> list[PeerLink]:
        """Return the open connections."""
        return [link for link in self._links.values() if link.is_open]

    def address_of(self, link: PeerLink) -> str:
        """Return the address that a connection was made to, or "" if it is unknown."""
        return next((a for a, known in self._links.items() if known is link), "")

    def redial(self, link: PeerLink) -> None:
        """Dial again at once after a connection has ended.

        If it ended as soon as it was made, wait for the next round, to avoid a busy loop.
        """
        address = self.address_of(link)
        if address and clock.now() > link.created_at + RETRY_SECONDS:
            self._dial_if_missing(address)

    async def run(self) -> None:
        """Dial missing connections in rounds until cancelled."""
        while True:
            now = clock.now()
            for address in [
                a for a, at in self._wanted.items() if at < now - ADDRESS_EXPIRY_SECONDS
            ]:
                if address not in self._links:
                    del self._wanted[address]
            attempts = [
                self._dial_if_missing(address) for address in self._seeds | self._wanted.keys()
            ]
            pause = RETRY_SECONDS if any(attempts) else CONNECTED_RETRY_SECONDS
            await asyncio.sleep(pause if self.links() else DISCONNECTED_RETRY_SECONDS)

    def _dial_if_missing(self, address: str) -> bool:
        """Dial unless connected or not allowed; return whether an attempt is under way."""
        link = self._links.get(address)
        if link is not None and link.is_open:
            return False
        if address in self._dialing:
            return True
        if not self._may_dial(address):
            return False
        self._dialing.add(address)
        task = asyncio.get_running_loop().create_task(self._dial(address))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return True

    async def _dial(self, address: str) -> None:
        link = PeerLink(self._handler, self._ack_timeout)
        # Stored before it opens, as the handler may call `address_of`.
        self._links[address] = link
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT):
                await loop.create_connection(lambda: link, *split_address(address))
        except (TimeoutError, OSError):
            if self._links.get(address) is link:
                del self._links[address]
            self._on_failure(address)
        finally:
            self._dialing.discard(address)

"""Keeps connections to a changing set of peers."""

import asyncio
from collections.abc import Callable
from typing import final

from paddleshunt_node.aio import clock
from paddleshunt_node.aio.framing import PeerHandler, PeerLink
from paddleshunt_node.aio.sockets import split_address

CONNECT_TIMEOUT = 0.4
"""Seconds for a connection to be made; behind a cut it would hang for minutes."""

RETRY_SECONDS = 0.25
"""Seconds between two attempts at one address."""

CALM_SECONDS = 1.0
"""The same while each address that may be dialled has its connection: nothing is missed by it.

An address that is heard of, or whose connection ends, is tried at once.
"""

LONELY_RETRY_SECONDS = 0.08
"""The same while no connection stands, as after a loss of all power: nothing works till one does.

One entry's start-up takes 0.4 s; five attempts in that time cost less than one job's messages.
"""

FORGET_SECONDS = 20.0
"""Seconds without a connection after which an address is tried no more, unless it is a seed."""


@final
class Dialer:
    """Holds one connection to each wanted address, and tries again when it breaks."""

    def __init__(
        self,
        handler: PeerHandler,
        own: str,
        silence: float,
        may_dial: Callable[[str], bool],
        failed: Callable[[str], None] = lambda _: None,
    ) -> None:
        self._handler = handler
        self._own = own
        self._silence = silence
        self._may_dial = may_dial
        self._failed = failed
        self._wanted: dict[str, float] = {}
        self._seeds: set[str] = set()
        self._links: dict[str, PeerLink] = {}
        self._dialing: set[str] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    def seeds(self, addresses: set[str]) -> None:
        """Try these addresses for ever."""
        self._seeds = addresses - {self._own}

    def want(self, now: float, address: str) -> None:
        """Try this address, at once and for a while; it was heard of just now."""
        if address != self._own:
            self._wanted[address] = now
            self._try(address)

    def keep(self, now: float, addresses: list[str]) -> None:
        """Go on trying these addresses, in rounds."""
        for address in addresses:
            if address != self._own:
                self._wanted[address] = now

    def links(self) -> list[PeerLink]:
        """Return the connections that stand."""
        return [link for link in self._links.values() if link.is_open]

    def address_of(self, link: PeerLink) -> str:
        """Return the address that a connection was made to; empty if it is none of ours."""
        return next((a for a, known in self._links.items() if known is link), "")

    def lost(self, link: PeerLink) -> None:
        """Dial again at once where a connection has ended that had stood for a while.

        One that ends as soon as it stands waits for the next round, or both sides would be busy
        with nothing else.
        """
        address = self.address_of(link)
        if address and clock.now() > link.made + RETRY_SECONDS:
            self._try(address)

    async def run(self) -> None:
        """Try addresses until cancelled."""
        while True:
            now = clock.now()
            for address in [a for a, at in self._wanted.items() if at < now - FORGET_SECONDS]:
                if address not in self._links:
                    del self._wanted[address]
            tried = [self._try(address) for address in self._seeds | self._wanted.keys()]
            pause = RETRY_SECONDS if any(tried) else CALM_SECONDS
            await asyncio.sleep(pause if self.links() else LONELY_RETRY_SECONDS)

    def _try(self, address: str) -> bool:
        """Dial unless there is a connection or may be none; return whether one is being made."""
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
        link = PeerLink(self._handler, self._silence)
        # Known before it opens, so that the handler can ask whom it dialled.
        self._links[address] = link
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT):
                await loop.create_connection(lambda: link, *split_address(address))
        except (TimeoutError, OSError):
            if self._links.get(address) is link:
                del self._links[address]
            self._failed(address)
        finally:
            self._dialing.discard(address)

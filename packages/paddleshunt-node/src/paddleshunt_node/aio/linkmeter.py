"""Samples what the connections of a process hold unsent, for its `LinkPressure`.

What asyncio holds is read each time. What the kernel holds costs a system call a connection, so it
is asked for only while there is a suspicion, and of a few connections at a time.
"""

import asyncio
import fcntl
import struct
import termios
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Protocol, final

from paddleshunt_core.leased.linkpressure import LinkPressure, LinkSample

from paddleshunt_node.aio.process import ProcessContext

SAMPLE_SECONDS = 0.2
"""Seconds between two samples: a session bears 0.4 s of silence, and a sample costs up to 1 ms."""

KERNEL_SAMPLE_CONNECTIONS = 64
"""Connections that the kernel is asked about in one sample; what they hold stands for the rest."""

_COUNT = struct.Struct("i")

_UNSENT: int | None = getattr(termios, "TIOCOUTQ", None)
"""The question to the kernel; None on systems that don't have it."""


@dataclass(frozen=True, slots=True)
class _Kernel:
    """What the kernel holds beside asyncio: bytes in all, the largest holder's with asyncio's, and
    the connections of which it alone holds some."""

    unsent: int = 0
    largest: int = 0
    holding: int = 0


class MeteredConnection(Protocol):
    """A connection whose sends are watched."""

    @property
    def transport(self) -> asyncio.Transport | None:
        """Where it writes; None once it has ended."""

    @property
    def written(self) -> int:
        """Bytes that were handed to it."""


@final
class LinkMeter:
    """Watches the connections of one process.

    `connections` are those that stand; `echo` is told as in `LinkSample`, and is at most
    `usual_echo` while nothing waits.
    """

    def __init__(
        self,
        context: ProcessContext,
        connections: Callable[[], Iterable[MeteredConnection]],
        echo: Callable[[], float | None],
        usual_echo: float = float("inf"),
    ) -> None:
        self.pressure = LinkPressure(usual_echo)
        self._context = context
        self._connections = connections
        self._echo = echo
        self._written: dict[MeteredConnection, int] = {}
        """Bytes that were handed to each connection until the last sample."""
        self._total = 0
        self._due = 0.0
        self._turn = 0
        self._kernel_tells = True
        """Whether the kernel can be asked; on some systems it can't."""

    def sample_when_due(self, now: float) -> None:
        """Take a sample if the last one is old enough."""
        if now >= self._due:
            self._due = now + SAMPLE_SECONDS
            self.sample(now)

    def add_gauges(self) -> None:
        """Add the gauges to the metrics page."""
        metrics = self._context.metrics
        metrics.gauge(
            "paddleshunt_link_wait_seconds",
            "Time that bytes wait at the own link.",
            lambda: self.pressure.wait,
        )
        metrics.gauge(
            "paddleshunt_link_level",
            "0 normal, 1 sheds what can wait, 2 takes no jobs.",
            lambda: self.pressure.level,
        )

    def describe(self) -> dict[str, object]:
        """Return a summary for a dump."""
        pressure = self.pressure
        return {"level": pressure.level.name.lower(), "wait_ms": round(pressure.wait * 1000)}

    def sample(self, now: float) -> None:
        """Take a sample, and log what follows from it."""
        echo = self._echo()
        held = self._held()
        thorough = any(held.values()) or self.pressure.is_suspicious(echo)
        kernel = self._ask_kernel(held) if thorough and self._kernel_tells else _Kernel()
        largest = max(held.values(), default=0)
        sample = LinkSample(
            unsent=sum(held.values()) + kernel.unsent,
            largest=max(largest, kernel.largest),
            written=self._total,
            holding=sum(count > 0 for count in held.values()) + kernel.holding,
            active=len(held),
            echo=echo,
        )
        for log in self.pressure.sampled(now, sample):
            self._context.log(log)
            self._context.metrics.event(log.event)

    def _held(self) -> dict[MeteredConnection, int]:
        """Return the bytes that asyncio holds, of the connections in use."""
        held: dict[MeteredConnection, int] = {}
        before, self._written = self._written, {}
        for connection in self._connections():
            transport = connection.transport
            if transport is None:
                continue
            news = connection.written - before.get(connection, 0)
            self._written[connection] = connection.written
            self._total += news
            count = transport.get_write_buffer_size()
            if count or news:
                held[connection] = count
        return held

    def _ask_kernel(self, held: dict[MeteredConnection, int]) -> "_Kernel":
        """Return what the kernel holds, by some of the connections; others' turn is next.

        What asyncio holds bytes of is few, and not like the others: each kind stands for itself.
        """
        holders = [connection for connection, count in held.items() if count]
        others = [connection for connection, count in held.items() if not count]
        self._turn += 1
        asked = self._some(
            holders, min(KERNEL_SAMPLE_CONNECTIONS - KERNEL_SAMPLE_CONNECTIONS // 2, len(holders))
        )
        quiet = self._some(others, KERNEL_SAMPLE_CONNECTIONS - len(asked))
        whole = {connection: self._kernel_bytes(connection) for connection in (*asked, *quiet)}
        share = len(holders) / max(1, len(asked))
        quiet_share = len(others) / max(1, len(quiet))
        unsent = share * sum(map(whole.__getitem__, asked))
        unsent += quiet_share * sum(map(whole.__getitem__, quiet))
        return _Kernel(
            round(unsent),
            max((held[one] + count for one, count in whole.items()), default=0),
            round(quiet_share * sum(whole[one] > 0 for one in quiet)),
        )

    def _some(self, connections: list[MeteredConnection], count: int) -> list[MeteredConnection]:
        """Return so many of them, beginning elsewhere each turn."""
        first = self._turn * count % max(1, len(connections))
        return (connections[first:] + connections[:first])[:count]

    def _kernel_bytes(self, connection: MeteredConnection) -> int:
        transport = connection.transport
        sock = transport.get_extra_info("socket") if transport else None
        if sock is None or not self._kernel_tells or sock.fileno() < 0:
            return 0
        try:
            if _UNSENT is None:
                raise OSError("no TIOCOUTQ")
            answer = fcntl.ioctl(sock.fileno(), _UNSENT, bytes(_COUNT.size))
        except OSError as problem:
            self._kernel_tells = False
            self._context.event("kernel_bytes_unknown", problem=str(problem))
            return 0
        count: int = _COUNT.unpack(answer)[0]
        return count

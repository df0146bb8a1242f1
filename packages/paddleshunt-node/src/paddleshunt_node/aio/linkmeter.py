"""Samples the unsent bytes of a process's connections for its `LinkPressure`.

asyncio's write buffers are read in each sample. The kernel's send buffers cost a system call per
connection, so they are read only when pressure is suspected, and of some connections at a time.
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
"""Seconds between two samples.

A session survives 0.4 s of silence, and a sample takes up to 1 ms of processor time.
"""

KERNEL_SAMPLE_CONNECTIONS = 64
"""Connections whose kernel buffers are read per sample; the others' are extrapolated."""

_INT = struct.Struct("i")

_UNSENT_REQUEST: int | None = getattr(termios, "TIOCOUTQ", None)
"""The ioctl request for unsent bytes; None on systems without it."""


@dataclass(frozen=True, slots=True)
class _KernelBuffers:
    """Estimate of the kernel's send buffers.

    `unsent` are bytes in all; `largest` is one connection's bytes, asyncio's included; `holding`
    counts connections with bytes in the kernel and none in asyncio.
    """

    unsent: int = 0
    largest: int = 0
    holding: int = 0


class MeteredConnection(Protocol):
    """A connection whose unsent bytes are sampled."""

    @property
    def transport(self) -> asyncio.Transport | None:
        """The connection's transport; None once it has ended."""

    @property
    def written(self) -> int:
        """Bytes written so far."""


@final
class LinkMeter:
    """Samples the connections of one process.

    `connections` returns the open ones; `echo` returns the echo age of `LinkSample`, which is at
    most `normal_echo_age` on a free link.
    """

    def __init__(
        self,
        context: ProcessContext,
        connections: Callable[[], Iterable[MeteredConnection]],
        echo: Callable[[], float | None],
        normal_echo_age: float = float("inf"),
    ) -> None:
        self.pressure = LinkPressure(normal_echo_age)
        self._context = context
        self._connections = connections
        self._echo = echo
        self._written: dict[MeteredConnection, int] = {}
        """Bytes written to each connection up to the last sample."""
        self._total_written = 0
        self._due = 0.0
        self._kernel_samples = 0
        self._kernel_supported = True
        """Whether the system reports the kernel's send buffers."""

    def sample_when_due(self, now: float) -> None:
        """Take a sample if `SAMPLE_SECONDS` have passed since the last one."""
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
        """Return a summary for the dump page."""
        pressure = self.pressure
        return {"level": pressure.level.name.lower(), "wait_ms": round(pressure.wait * 1000)}

    def sample(self, now: float) -> None:
        """Take a sample, and log changes of the pressure level."""
        echo_age = self._echo()
        buffered = self._buffered_bytes()
        full = any(buffered.values()) or self.pressure.needs_full_sample(echo_age)
        kernel = (
            self._sample_kernel(buffered) if full and self._kernel_supported else _KernelBuffers()
        )
        largest = max(buffered.values(), default=0)
        sample = LinkSample(
            unsent=sum(buffered.values()) + kernel.unsent,
            largest=max(largest, kernel.largest),
            written=self._total_written,
            holding=sum(count > 0 for count in buffered.values()) + kernel.holding,
            active=len(buffered),
            echo_age=echo_age,
        )
        for log in self.pressure.add_sample(now, sample):
            self._context.log(log)
            self._context.metrics.event(log.event)

    def _buffered_bytes(self) -> dict[MeteredConnection, int]:
        """Return the bytes in asyncio's write buffers, for each connection in use."""
        buffered: dict[MeteredConnection, int] = {}
        before, self._written = self._written, {}
        for connection in self._connections():
            transport = connection.transport
            if transport is None:
                continue
            written = connection.written - before.get(connection, 0)
            self._written[connection] = connection.written
            self._total_written += written
            count = transport.get_write_buffer_size()
            if count or written:
                buffered[connection] = count
        return buffered

    def _sample_kernel(self, buffered: dict[MeteredConnection, int]) -> "_KernelBuffers":
        """Return an estimate of the kernel's send buffers, from a rotating part of the connections.

        Connections with bytes in asyncio's buffers are extrapolated apart from the others, as they
        are few and hold more.
        """
        holders = [connection for connection, count in buffered.items() if count]
        others = [connection for connection, count in buffered.items() if not count]
        self._kernel_samples += 1
        sampled_holders = self._rotate(
            holders, min(KERNEL_SAMPLE_CONNECTIONS - KERNEL_SAMPLE_CONNECTIONS // 2, len(holders))
        )
        sampled_others = self._rotate(others, KERNEL_SAMPLE_CONNECTIONS - len(sampled_holders))
        kernel_bytes = {
            connection: self._kernel_bytes(connection)
            for connection in (*sampled_holders, *sampled_others)
        }
        holders_factor = len(holders) / max(1, len(sampled_holders))
        others_factor = len(others) / max(1, len(sampled_others))
        unsent = holders_factor * sum(map(kernel_bytes.__getitem__, sampled_holders))
        unsent += others_factor * sum(map(kernel_bytes.__getitem__, sampled_others))
        return _KernelBuffers(
            round(unsent),
            max((buffered[one] + count for one, count in kernel_bytes.items()), default=0),
            round(others_factor * sum(kernel_bytes[one] > 0 for one in sampled_others)),
        )

    def _rotate(self, connections: list[MeteredConnection], count: int) -> list[MeteredConnection]:
        """Return `count` of the connections, from another position in each sample."""
        first = self._kernel_samples * count % max(1, len(connections))
        return (connections[first:] + connections[:first])[:count]

    def _kernel_bytes(self, connection: MeteredConnection) -> int:
        transport = connection.transport
        sock = transport.get_extra_info("socket") if transport else None
        if sock is None or not self._kernel_supported or sock.fileno() < 0:
            return 0
        try:
            if _UNSENT_REQUEST is None:
                raise OSError("TIOCOUTQ is not supported")
            answer = fcntl.ioctl(sock.fileno(), _UNSENT_REQUEST, bytes(_INT.size))
        except OSError as problem:
            self._kernel_supported = False
            self._context.event("kernel_bytes_unknown", problem=str(problem))
            return 0
        count: int = _INT.unpack(answer)[0]
        return count

"""A base protocol that reads into one buffer, shared by all connections of the event loop.

asyncio's plain protocols allocate and shrink a buffer of 256 KiB for each read, which costs three
system calls to map, remap and unmap memory.
"""

import asyncio

BUFFER_BYTES = 65536

_buffer = memoryview(bytearray(BUFFER_BYTES))


class SharedBufferProtocol(asyncio.BufferedProtocol):
    """Base class of protocols that implement `data_received`."""

    def data_received(self, data: bytes) -> None:
        """Process received bytes."""
        raise NotImplementedError

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the shared buffer."""
        return _buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Pass a copy of the received bytes to `data_received`."""
        self.data_received(bytes(_buffer[:nbytes]))

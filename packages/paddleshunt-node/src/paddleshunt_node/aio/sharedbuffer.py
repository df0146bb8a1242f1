"""Reading from connections without a large new buffer, and three system calls, for each read.

asyncio's plain protocols read into 256 KiB that are allocated and cut down for each read, which
maps, remaps and unmaps memory. Here all connections of the one loop read into the same buffer,
whose content is copied before the next read.
"""

import asyncio

READ_BYTES = 65536

_buffer = memoryview(bytearray(READ_BYTES))


class SharedBufferProtocol(asyncio.BufferedProtocol):
    """Base of protocols whose `data_received` takes what was read."""

    def data_received(self, data: bytes) -> None:
        """Take bytes that have come."""
        raise NotImplementedError

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return where to read to."""
        return _buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Hand on what was read."""
        self.data_received(bytes(_buffer[:nbytes]))

"""Messages between processes over one-way pynng sockets, read by a blocking thread.

A process listens on one pull socket and has one push socket per peer. A blocking thread that reads
in batches uses less CPU per message than pynng's asyncio calls (docs/design/peer-sockets.md).
Messages are not resent here.
"""

import time
from collections.abc import Callable
from threading import Lock, Thread
from typing import final

import pynng

from paddleshunt_node import logs

BUFFERED_MESSAGES = 128
"""Messages that a socket buffers; a push socket, for a peer that is slow or not connected."""

MAX_MESSAGE_BYTES = 64 << 20
"""Size of the largest message that is accepted."""

IDLE_SECONDS = 120.0
"""Time after which a socket that sent nothing is closed."""

_RECONNECT_MS = 100
_RECONNECT_MAX_MS = 2000
_MAX_BATCH = 64


@final
class Peers:
    """The sockets of one process. `receive` is called with batches of raw messages."""

    def __init__(self, address: str, receive: Callable[[list[bytes]], None]) -> None:
        self._receive = receive
        self._sockets: dict[str, pynng.Push0] = {}
        self._last_sent: dict[str, float] = {}
        self._lock = Lock()
        self._pull = pynng.Pull0(
            recv_buffer_size=BUFFERED_MESSAGES, recv_max_size=MAX_MESSAGE_BYTES
        )
        try:
            self._pull.listen(f"tcp://{address}")
        except pynng.exceptions.NNGException as error:
            self._pull.close()
            raise OSError(f"{address}: {error}") from error
        self._thread = Thread(target=self._run, name="peers", daemon=True)

    def start(self) -> None:
        """Start receiving messages."""
        self._thread.start()

    def send(self, address: str, raw: bytes) -> bool:
        """Send to a peer; return False if the message provably wasn't sent."""
        socket = self._socket(address)
        if socket is None:
            return False
        self._last_sent[address] = time.monotonic()
        try:
            socket.send(raw, block=False)
        except pynng.exceptions.NNGException:
            return False
        return True

    def close_idle(self) -> None:
        """Close sockets that have sent nothing for `IDLE_SECONDS`."""
        limit = time.monotonic() - IDLE_SECONDS
        with self._lock:
            for address in [a for a, sent in self._last_sent.items() if sent < limit]:
                del self._last_sent[address]
                self._sockets.pop(address).close()

    def close(self) -> None:
        """Close all sockets, after the last messages have had time to leave."""
        self._pull.close()
        with self._lock:
            for socket in self._sockets.values():
                socket.close()
            self._sockets.clear()
        if self._thread.is_alive():
            self._thread.join()

    def _socket(self, address: str) -> pynng.Push0 | None:
        with self._lock:
            socket = self._sockets.get(address)
            if socket is None:
                socket = _dial(address)
                if socket is not None:
                    self._sockets[address] = socket
            return socket

    def _run(self) -> None:
        while True:
            try:
                batch = [self._pull.recv()]
            except pynng.exceptions.NNGException:
                return
            self._drain(batch)
            self._receive(batch)

    def _drain(self, batch: list[bytes]) -> None:
        while len(batch) < _MAX_BATCH:
            try:
                batch.append(self._pull.recv(block=False))
            except pynng.exceptions.NNGException:
                return


def _dial(address: str) -> pynng.Push0 | None:
    socket = pynng.Push0(
        send_buffer_size=BUFFERED_MESSAGES,
        reconnect_time_min=_RECONNECT_MS,
        reconnect_time_max=_RECONNECT_MAX_MS,
    )
    try:
        socket.dial(f"tcp://{address}", block=False)
    except pynng.exceptions.NNGException as error:
        logs.event("dial_failed", address=address, reason=str(error))
        socket.close()
        return None
    return socket

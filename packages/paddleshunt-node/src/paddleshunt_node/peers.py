"""Messages between the system's processes: one-way pynng sockets, read by a blocking thread.

A process listens on one pull socket and has one push socket for each peer it talks to. A blocking
thread that drains what has come costs less processor time a message than pynng's asyncio calls;
docs/design/peer-sockets.md has the figures. Nothing is sent again here.
"""

import time
from collections.abc import Callable
from threading import Lock, Thread
from typing import final

import pynng

from paddleshunt_node import logs

SEND_BUFFER = 128
"""Messages a push socket holds for a peer that is slow or not connected."""

MAX_MESSAGE = 64 << 20
"""Bytes of the largest message that is taken."""

IDLE_SECONDS = 120.0
"""Seconds after which a socket that sent nothing is closed."""

_RECONNECT_MS = 100
_RECONNECT_MAX_MS = 2000
_DRAIN = 64


@final
class Peers:
    """The sockets of one process. `receive` is called with batches of raw messages."""

    def __init__(self, address: str, receive: Callable[[list[bytes]], None]) -> None:
        self._receive = receive
        self._sockets: dict[str, pynng.Push0] = {}
        self._used: dict[str, float] = {}
        self._lock = Lock()
        self._pull = pynng.Pull0(recv_buffer_size=SEND_BUFFER, recv_max_size=MAX_MESSAGE)
        try:
            self._pull.listen(f"tcp://{address}")
        except pynng.exceptions.NNGException as error:
            self._pull.close()
            raise OSError(f"{address}: {error}") from error
        self._thread = Thread(target=self._run, name="peers", daemon=True)

    def start(self) -> None:
        """Begin to take messages."""
        self._thread.start()

    def send(self, address: str, raw: bytes) -> bool:
        """Send to a peer; return False if the message provably stays here."""
        socket = self._socket(address)
        if socket is None:
            return False
        self._used[address] = time.monotonic()
        try:
            socket.send(raw, block=False)
        except pynng.exceptions.NNGException:
            return False
        return True

    def close_idle(self) -> None:
        """Close sockets that have sent nothing for a while."""
        limit = time.monotonic() - IDLE_SECONDS
        with self._lock:
            for address in [a for a, used in self._used.items() if used < limit]:
                del self._used[address]
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
        while len(batch) < _DRAIN:
            try:
                batch.append(self._pull.recv(block=False))
            except pynng.exceptions.NNGException:
                return


def _dial(address: str) -> pynng.Push0 | None:
    socket = pynng.Push0(
        send_buffer_size=SEND_BUFFER,
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

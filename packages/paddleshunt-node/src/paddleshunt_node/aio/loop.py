"""The event loop of a process for leased jobs: asyncio's own, which asks the kernel less often.

asyncio asks for ready connections in each of its rounds, also when callbacks wait to be run and
nothing can have come since it asked last. One message takes two or three rounds, so more than half
of these system calls find nothing. Here every other round that need not wait does not ask.
"""

import asyncio
import selectors
from collections.abc import Callable
from typing import final

_Ready = list[tuple[selectors.SelectorKey, int]]


@final
class _SparingSelector(selectors.DefaultSelector):
    """Asks the kernel, unless the loop need not wait and the kernel was asked just before."""

    def __init__(self) -> None:
        super().__init__()
        self._may_skip = False

    def select(self, timeout: float | None = None) -> _Ready:
        """Return what is ready; none without asking if `timeout` is 0 and it asked just before."""
        waits = timeout is None or timeout > 0
        if self._may_skip and not waits:
            self._may_skip = False
            return []
        self._may_skip = True
        return super().select(timeout)


ROUNDS = 6
"""Rounds after which what had come before the first of them is handled.

One of two rounds asks the kernel. What was sent before the end of a connection is read first, the
end in the next round that asks, and telling of it takes one more.
"""


def call_after_pending_io(
    loop: asyncio.AbstractEventLoop, callback: Callable[[], None], rounds: int = ROUNDS
) -> None:
    """Call back once all that had come by now is handled, the ends of connections too."""
    if rounds:
        loop.call_soon(call_after_pending_io, loop, callback, rounds - 1)
    else:
        callback()


def new_loop() -> asyncio.SelectorEventLoop:
    """Return the loop to run a process on."""
    return asyncio.SelectorEventLoop(_SparingSelector())

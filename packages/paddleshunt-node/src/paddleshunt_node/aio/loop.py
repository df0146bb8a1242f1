"""The event loop of the processes for leased jobs: asyncio's, with fewer system calls.

asyncio polls the selector in each iteration, even while callbacks are pending. As one message takes
two or three iterations, most of these polls find nothing. This loop skips every other poll that
would not block.
"""

import asyncio
import selectors
from collections.abc import Callable
from typing import final

_Ready = list[tuple[selectors.SelectorKey, int]]


@final
class _SkippingSelector(selectors.DefaultSelector):
    """Skips a non-blocking poll if the preceding call has polled."""

    def __init__(self) -> None:
        super().__init__()
        self._may_skip = False

    def select(self, timeout: float | None = None) -> _Ready:
        """Return the ready keys; an empty list if the poll is skipped."""
        blocks = timeout is None or timeout > 0
        if self._may_skip and not blocks:
            self._may_skip = False
            return []
        self._may_skip = True
        return super().select(timeout)


PENDING_IO_ITERATIONS = 6
"""Loop iterations after which all I/O that was pending before the first one is handled.

Every other iteration polls. Reading the data and the end of a connection takes one poll each, and
calling `connection_lost` one more iteration.
"""


def call_after_pending_io(
    loop: asyncio.AbstractEventLoop,
    callback: Callable[[], None],
    iterations: int = PENDING_IO_ITERATIONS,
) -> None:
    """Call `callback` once all pending I/O, including disconnects, has been handled."""
    if iterations:
        loop.call_soon(call_after_pending_io, loop, callback, iterations - 1)
    else:
        callback()


def new_loop() -> asyncio.SelectorEventLoop:
    """Return a new event loop for a process."""
    return asyncio.SelectorEventLoop(_SkippingSelector())

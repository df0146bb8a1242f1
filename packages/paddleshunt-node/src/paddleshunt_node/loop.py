"""The event loop: one thread that owns a process's state and handles inputs in batches.

Other threads post inputs, functions that take the current time and return effects; so the core's
state machines need no locks.
"""

import queue
import time
from collections.abc import Callable
from threading import Thread
from typing import final

from paddleshunt_core.effects import Effect

TICK_SECONDS = 0.05
"""Interval of ticks while there is work."""

IDLE_TICK_SECONDS = 0.25
"""Interval of ticks while the machine is idle."""

MAX_BATCH = 256
"""Maximum number of inputs handled before their effects are performed."""

Input = Callable[[float], list[Effect]]


@final
class Loop:
    """Runs inputs, `tick` and `flush` on its own thread and passes their effects to `perform`."""

    def __init__(
        self,
        tick: Input,
        flush: Input,
        perform: Callable[[float, list[Effect]], None],
        is_idle: Callable[[], bool],
    ) -> None:
        self._tick = tick
        self._flush = flush
        self._perform = perform
        self._is_idle = is_idle
        self._inputs: queue.SimpleQueue[Input] = queue.SimpleQueue()
        self._stopped = False
        self._thread = Thread(target=self._run, name="loop", daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def post(self, item: Input) -> None:
        """Run `item` soon on the loop's thread."""
        self._inputs.put(item)

    def stop(self) -> None:
        """Run the inputs posted so far, then end the thread."""
        self.post(self._stop)
        self._thread.join()

    def _stop(self, _now: float) -> list[Effect]:
        self._stopped = True
        return []

    def _run(self) -> None:
        last_tick = 0.0
        while not self._stopped:
            next_tick = last_tick + (IDLE_TICK_SECONDS if self._is_idle() else TICK_SECONDS)
            batch = self._next_batch(max(0.0, next_tick - time.monotonic()))
            now = time.monotonic()
            effects: list[Effect] = []
            for item in batch:
                effects += item(now)
            if now >= next_tick:
                effects += self._tick(now)
                last_tick = now
            effects += self._flush(now)
            self._perform(now, effects)

    def _next_batch(self, timeout: float) -> list[Input]:
        try:
            batch = [self._inputs.get(timeout=timeout)]
        except queue.Empty:
            return []
        while len(batch) < MAX_BATCH:
            try:
                batch.append(self._inputs.get_nowait())
            except queue.Empty:
                break
        return batch

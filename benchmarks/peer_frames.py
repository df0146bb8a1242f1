"""Processor time of a frame between two processes' links, over loopback: `peer_frames.py [BURST]`.

Both ends run in one process; half of the time is taken as the sender's, half as the receiver's.
Compare with `peer_drive.py`, which does the same with pynng.
"""

import asyncio
import resource
import sys
import time

from paddleshunt_core.leased.refusals import Refusal
from paddleshunt_core.leased.resources import Resources
from paddleshunt_core.leased.wire import Assign, Frame, Hello
from paddleshunt_node.aio.framing import PeerLink

FRAMES = 20_000
SILENCE = 5.0
SPEC_BYTES = 350


class Counter:
    """Counts frames; greets when a connection opens."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.frames = 0

    def connection_opened(self, link: PeerLink) -> None:
        """Greet."""
        link.send(Hello(self.name, "life", False, "hall", "", 0, 0))

    def hello_received(self, link: PeerLink, hello: Hello) -> None:
        """Ignore the greeting."""

    def frame_received(self, link: PeerLink, frame: Frame) -> None:
        """Count."""
        self.frames += 1

    def message_refused(self, link: PeerLink, refusal: Refusal) -> None:
        """Fail: this sender writes nothing that can't be read."""
        raise AssertionError(refusal)

    def connection_closed(self, link: PeerLink) -> None:
        """Ignore the end."""


async def measure(burst: int) -> float:
    """Return the processor seconds of a frame, both ends together."""
    loop = asyncio.get_running_loop()
    receiver, sender = Counter("receiver"), Counter("sender")
    server = await loop.create_server(lambda: PeerLink(receiver, SILENCE), "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    _, link = await loop.create_connection(lambda: PeerLink(sender, SILENCE), "127.0.0.1", port)
    body = Assign("k" * 16, 0, "x" * SPEC_BYTES, Resources(1600, 64), 400, 2500, [(0, 1)])
    began = time.process_time()
    for number in range(0, FRAMES, burst):
        for _ in range(burst):
            link.send(Frame(number, number, number, number, [body]))
        while receiver.frames < number + burst:
            await asyncio.sleep(0)
    spent = time.process_time() - began
    server.close()
    return spent / FRAMES


def main() -> None:
    """Print the microseconds a frame and the process's peak memory."""
    burst = int(sys.argv[1]) if len(sys.argv) > 1 else 1
    seconds = asyncio.run(measure(burst))
    peak = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024
    print(f"burst {burst}: {seconds * 1e6:.0f} us a frame, both ends; peak {peak:.1f} MB")


if __name__ == "__main__":
    main()

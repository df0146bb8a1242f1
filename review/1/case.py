"""A runner's Deregister is read, its answer is lost, and it runs on for some seconds."""

import asyncio
import socket
import struct
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins"))
from world import CouldNotRun, main  # noqa: E402

SERVES_ON_S = 2.3
"""Seconds for which the runner serves on after `draining` was acknowledged: `drain_ms` and more."""

ENDS_ANYWAY_S = 2.0
"""Seconds after which it ends if its Deregister was not acknowledged: "some seconds later"."""


async def scene(world):
    await world.open(2, [{"cpu": 8000}, {"cpu": 8000}, {"cpu": 8000}])
    await asyncio.sleep(1.0)
    # Work for about the whole room of one runner, spread by the entries as they like.
    for _ in range(6):
        for entry, other in (("e0", "e1"), ("e1", "e0")):
            world.submit(entry, 6.0, deadline=20.0, resend_to=(other,))
    await asyncio.sleep(0.5)
    leaver = max(world.runners.values(), key=lambda runner: len(runner.running))
    if not leaver.running:
        raise CouldNotRun("no task was started")
    world.log("platform", f"{leaver.id} on {leaver.name} is to leave")
    leaver.state = "draining"
    while not await leaver.beat():
        await asyncio.sleep(0.1)
    await asyncio.sleep(SERVES_ON_S)
    if not leaver.running:
        raise CouldNotRun("the leaving runner has no task left")
    leaver.beating.cancel()
    held = sorted(leaver.running)
    if world.trouble:
        control = leaver.control
        await asyncio.start_server(lambda r, w: reset_answer(world, control, r, w),
                                   leaver.address, world.ports["proxy"])
        leaver.control = (leaver.address, world.ports["proxy"])
    if await deregister(leaver):
        if world.trouble:
            raise CouldNotRun("the answer was not lost")
    elif world.trouble:
        # No acknowledgement came: it still ends, some seconds later.
        await asyncio.sleep(ENDS_ANYWAY_S)
        leaver.end_life("gone")
    else:
        raise CouldNotRun("the Deregister was not acknowledged")
    await asyncio.sleep(1.0)
    overlaps = [one for one in world.twice() if one[2]["target"] != one[3]["target"]]
    world.log("check", f"tasks at work at the Deregister: {held}")
    for seconds, at, first, second in overlaps:
        world.log("check", f"{first['task']}: {world.describe(first)}; {world.describe(second)}; "
                  f"both at work for {seconds * 1000:.0f} ms", at)
    if not overlaps:
        return None
    longest = max(overlaps, key=lambda one: one[0])
    return (f"TWICE: {len(overlaps)} tasks had two runs at once on runners that are up; longest "
            f"for {longest[0] * 1000:.0f} ms: {longest[2]['task']}, "
            f"{world.describe(longest[2])}, {world.describe(longest[3])}")


class Deregister(asyncio.Protocol):
    """One Deregister; the runner ends as soon as the acknowledgement is there."""

    def __init__(self, leaver):
        self.leaver = leaver
        self.acknowledged = asyncio.get_running_loop().create_future()

    def connection_made(self, transport):
        self.transport = transport
        self.leaver.world.log(self.leaver.name, f"Deregister {self.leaver.id}")
        transport.write(f"POST /paddleshunt/Instances.Deregister/{self.leaver.id} HTTP/1.1\r\n"
                        "Host: control\r\nContent-Length: 0\r\n\r\n".encode())

    def data_received(self, data):
        if not self.acknowledged.done() and data.startswith(b"HTTP/1.1 200"):
            self.leaver.world.log(self.leaver.name, f"Deregister {self.leaver.id}: 200")
            self.leaver.end_life("gone")
            self.acknowledged.set_result(True)

    def connection_lost(self, problem):
        if not self.acknowledged.done():
            self.leaver.world.log(self.leaver.name, f"Deregister {self.leaver.id}: {problem!r}")
            self.acknowledged.set_result(False)


async def deregister(leaver):
    """Say that the runner ends; return whether that was acknowledged within a second."""
    loop = asyncio.get_running_loop()
    transport, call = await loop.create_connection(lambda: Deregister(leaver), *leaver.control)
    try:
        return await asyncio.wait_for(asyncio.shield(call.acknowledged), 1.0)
    except TimeoutError:
        return False
    finally:
        transport.abort()


async def reset_answer(world, control, reader, writer):
    """Pass the request on, and reset the runner's connection as the answer arrives."""
    request = await reader.readuntil(b"\r\n\r\n")
    target_reader, target_writer = await asyncio.open_connection(*control)
    target_writer.write(request)
    await target_reader.read(1)
    world.log("proxy", "the target has answered; the runner's connection is reset")
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()
    target_writer.close()


if __name__ == "__main__":
    main(Path(__file__).parent, scene)

"""Compares ways to drive pynng's sockets: processor time a message on both sides.

Each way sends the same messages from one process to another: in bursts, as a gate's reports come,
and back to back. Prints one Markdown row a way: microseconds of processor time a message.
"""

import argparse
import asyncio
import resource
import subprocess
import sys
import time
from collections.abc import Callable

import pynng

MESSAGE = b"x" * 400
MESSAGES = 4000
DONE = b"done"


def cpu_seconds() -> float:
    """Return the processor seconds that this process has used."""
    used = resource.getrusage(resource.RUSAGE_SELF)
    return used.ru_utime + used.ru_stime


def receive_blocking(address: str) -> int:
    """Take messages with a blocking call, then drain what has come."""
    taken = 0
    with pynng.Pull0(listen=address, recv_buffer_size=128) as pull:
        print("ready", flush=True)
        while True:
            batch = [pull.recv()]
            while len(batch) < 64:
                try:
                    batch.append(pull.recv(block=False))
                except pynng.TryAgain:
                    break
            taken += len(batch)
            if DONE in batch:
                return taken


def receive_asyncio(address: str) -> int:
    """Take messages with pynng's asyncio call."""

    async def run() -> int:
        taken = 0
        with pynng.Pull0(listen=address, recv_buffer_size=128) as pull:
            print("ready", flush=True)
            while await pull.arecv() != DONE:
                taken += 1
        return taken

    return asyncio.run(run())


def send_blocking(address: str, burst: int, pause: float) -> None:
    """Send from a thread that never waits inside pynng."""
    with pynng.Push0(dial=address, send_buffer_size=128) as push:
        for number in range(MESSAGES):
            push.send(MESSAGE)
            if pause and number % burst == burst - 1:
                time.sleep(pause)
        push.send(DONE)
        time.sleep(0.2)


def send_asyncio(address: str, burst: int, pause: float) -> None:
    """Send with pynng's asyncio call."""

    async def run() -> None:
        with pynng.Push0(dial=address, send_buffer_size=128) as push:
            for number in range(MESSAGES):
                await push.asend(MESSAGE)
                if pause and number % burst == burst - 1:
                    await asyncio.sleep(pause)
            await push.asend(DONE)
            await asyncio.sleep(0.2)

    asyncio.run(run())


RECEIVERS: dict[str, Callable[[str], int]] = {
    "blocking": receive_blocking,
    "asyncio": receive_asyncio,
}
SENDERS: dict[str, Callable[[str, int, float], None]] = {
    "blocking": send_blocking,
    "asyncio": send_asyncio,
}


def compare() -> None:
    """Print the table."""
    print("| way | load | send us | receive us |\n|---|---|---|---|")
    for way in ("blocking", "asyncio"):
        for load, burst, pause in (("back to back", 1, 0.0), ("bursts of 8", 8, 0.002)):
            address = f"tcp://127.0.0.1:{7900 + len(way) + burst}"
            command = [sys.executable, __file__, "--receive", way, "--address", address]
            with subprocess.Popen(command, stdout=subprocess.PIPE, text=True) as receiver:
                assert receiver.stdout is not None
                receiver.stdout.readline()
                before = cpu_seconds()
                SENDERS[way](address, burst, pause)
                sent = (cpu_seconds() - before) / MESSAGES * 1e6
                taken = float(receiver.stdout.readline())
            print(f"| {way} | {load} | {sent:.0f} | {taken:.0f} |", flush=True)


def main() -> None:
    """Compare, or be the receiving side."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--receive", choices=sorted(RECEIVERS))
    parser.add_argument("--address", default="")
    chosen = parser.parse_args()
    if not chosen.receive:
        compare()
        return
    before = cpu_seconds()
    RECEIVERS[chosen.receive](chosen.address)
    print((cpu_seconds() - before) / MESSAGES * 1e6, flush=True)


if __name__ == "__main__":
    main()

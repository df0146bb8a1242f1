"""Signals that come while a real process starts."""

import asyncio
import signal
from pathlib import Path
from random import Random

import pytest
from deployment import Deployment, Process
from record import Record

SIGNALS = 40
PAUSE = 0.03
START_SECONDS = 30.0
"""Bound of the time until it has started and written what it read; it takes 0.3 s alone."""

RELOADED = "event=settings_reloaded"


async def reload_often(folder: Path, role: str) -> Process:
    """Start one process and tell it to read its settings again, from its first moments on."""
    deployment = Deployment(folder, Record(), Random(1))
    process = await deployment.add("x0", role, 1)
    try:
        process.start()
        # Before the interpreter has come up, no program can take a signal.
        while not process.catches(signal.SIGHUP):
            await asyncio.sleep(0.001)
        for _ in range(SIGNALS):
            process.send(signal.SIGHUP)
            await asyncio.sleep(PAUSE)
        async with asyncio.timeout(START_SECONDS):
            while process.up and RELOADED not in process.log.read_text():
                process.send(signal.SIGHUP)
                await asyncio.sleep(PAUSE)
        assert process.up, f"ended with {process.popen and process.popen.poll()}"
    finally:
        process.end()
    return process


@pytest.mark.parametrize("role", ["entry", "target"])
def test_a_process_that_starts_outlives_changes_of_its_settings(role: str, tmp_path: Path) -> None:
    process = asyncio.run(reload_often(tmp_path, role))
    assert RELOADED in process.log.read_text()

"""SIGHUP received while a process starts, before its event loop handles signals.

SIGHUP requests a reload of the settings. Without a handler it would end the process; here it is
recorded, so that the settings can be reloaded once the process runs.
"""

import signal
from types import FrameType

_requested = False


def record_reload_requests() -> None:
    """Record SIGHUP from now on, until another handler is installed."""
    signal.signal(signal.SIGHUP, _record)


def reload_requested() -> bool:
    """Return whether SIGHUP was received since `record_reload_requests`."""
    return _requested


def _record(_number: int, _frame: FrameType | None) -> None:
    global _requested
    _requested = True

"""Signals that come while a process starts, before its loop can take them.

SIGHUP says that the settings changed. Until a handler stands it would end the process; here it is
noted, so that the settings are read once more as soon as they can be.
"""

import signal
from types import FrameType

_asked = False


def record_reload_requests() -> None:
    """Note SIGHUP from now on, until another handler takes its place."""
    signal.signal(signal.SIGHUP, _note)


def reload_requested() -> bool:
    """Whether SIGHUP came since `record_reload_requests`."""
    return _asked


def _note(_number: int, _frame: FrameType | None) -> None:
    global _asked
    _asked = True

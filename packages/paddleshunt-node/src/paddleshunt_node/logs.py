"""Logs: one line of key=value pairs for each event, on standard error."""

import logging
import sys
from typing import Any, final

from pythonjsonlogger.core import BaseJsonFormatter

_LOGGER = "paddleshunt"
_PLAIN = frozenset("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-:/~+,")


@final
class KeyValueFormatter(BaseJsonFormatter):
    """python-json-logger's formatter, with the line written as key=value pairs."""

    def jsonify_log_record(self, log_data: dict[str, Any]) -> str:
        """Return the record's line."""
        return " ".join(f"{key}={_quoted(value)}" for key, value in log_data.items())


def set_up(level: str) -> None:
    """Write the system's events of `level` and above to standard error."""
    handler = logging.StreamHandler(sys.stderr)
    formatter = KeyValueFormatter(
        "%(asctime)s %(levelname)s %(message)s",
        rename_fields={"asctime": "time", "levelname": "level", "message": "event"},
    )
    formatter.default_time_format = "%Y-%m-%dT%H:%M:%S"
    formatter.default_msec_format = "%s.%03d"
    handler.setFormatter(formatter)
    logger = logging.getLogger(_LOGGER)
    logger.handlers = [handler]
    logger.setLevel(level.upper())
    logger.propagate = False


def event(name: str, **fields: str | int | float) -> None:
    """Log one event."""
    logging.getLogger(_LOGGER).info(name, extra=fields)


def _quoted(value: object) -> str:
    text = str(value)
    if text and _PLAIN.issuperset(text):
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
    return f'"{escaped}"'

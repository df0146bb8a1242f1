"""Log output on standard error, one line of key=value pairs per event."""

import logging
import sys
from typing import Any, final

from pythonjsonlogger.core import BaseJsonFormatter

_LOGGER = "paddleshunt"
_UNQUOTED_CHARS = frozenset(
    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-:/~+,"
)


@final
class KeyValueFormatter(BaseJsonFormatter):
    """python-json-logger's formatter, writing key=value pairs instead of JSON."""

    def jsonify_log_record(self, log_data: dict[str, Any]) -> str:
        """Return the log line of a record."""
        return " ".join(f"{key}={_quote(value)}" for key, value in log_data.items())


def set_up(level: str) -> None:
    """Write log events of `level` and above to standard error."""
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


def _quote(value: object) -> str:
    text = str(value)
    if text and _UNQUOTED_CHARS.issuperset(text):
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
    return f'"{escaped}"'

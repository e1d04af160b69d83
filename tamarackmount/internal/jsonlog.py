"""Logs as JSON lines: one object a line, with the fields given by ``extra``."""

import json
import logging
import time
from typing import Any, TextIO

_PLAIN_FIELDS = frozenset(vars(logging.makeLogRecord({}))) | {"message", "asctime"}


class JsonFormatter(logging.Formatter):
    """Formats a record as one line of JSON.

    ``time`` is UTC in ISO 8601 with milliseconds; other keys are ``level``,
    ``logger``, ``message``, the record's extra fields and ``error`` for a traceback.
    """

    def format(self, record: logging.LogRecord) -> str:
        """Return the line, without its end."""
        entry: dict[str, Any] = {
            "time": _iso_time(record.created),
            "level": record.levelname.lower(),
            "logger": record.name,
            "message": record.getMessage(),
        }
        for name, value in vars(record).items():
            if name not in _PLAIN_FIELDS:
                entry[name] = value
        if record.exc_info:
            entry["error"] = self.formatException(record.exc_info)
        return json.dumps(entry, default=str)


def _iso_time(seconds: float) -> str:
    base = time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(seconds))
    return f"{base}.{int(seconds * 1_000) % 1_000:03d}Z"


def configure(stream: TextIO, level: int = logging.INFO) -> None:
    """Send every log record of this process to ``stream`` as JSON lines."""
    handler = logging.StreamHandler(stream)
    handler.setFormatter(JsonFormatter())
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)

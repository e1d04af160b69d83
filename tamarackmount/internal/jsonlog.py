"""Logs as JSON lines: one object a line, with the fields given by ``extra``.

Lines are written without ever waiting for a reader: what the stream does not take is
kept up to a bound, and beyond it lines are dropped and counted by message. Errors are
dropped last, and the first line of each error never.
"""

import logging
import os
import time
from collections import Counter, deque
from typing import Any, TextIO

import orjson

MAX_BUFFERED_BYTES = 4 * 1024 * 1024
"""Lines kept for a slow reader, in bytes: some ten seconds at the highest rate."""

ERROR_SHARE = 0.5
"""Part of that bound that only warnings and errors may use."""

MAX_LINES_PER_S = 2_000
"""Informational lines written in a second; a node at its limits writes 1,000."""

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
        return orjson.dumps(entry, default=str, option=orjson.OPT_NON_STR_KEYS).decode()


class BoundedHandler(logging.Handler):
    """Writes lines to a file descriptor as far as it takes them."""

    def __init__(self, descriptor: int) -> None:
        """Write to ``descriptor``, which is made non-blocking."""
        super().__init__()
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._lines: deque[bytes] = deque()
        self._size = 0
        self._second = 0
        self._lines_in_second = 0
        self._dropped: Counter[str] = Counter()
        self._known_errors: set[str] = set()

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record, keep it for later, or count it as dropped."""
        if not self._is_taken(record):
            self._dropped[record.getMessage()] += 1
            return
        self._report_dropped()
        self._add(self.format(record))
        self.flush()

    def flush(self) -> None:
        """Write what the descriptor takes now."""
        while self._lines:
            try:
                written = os.write(self._descriptor, self._lines[0])
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads any more: there is nowhere left to tell.
                self._lines.clear()
                self._size = 0
                return
            self._size -= written
            if written == len(self._lines[0]):
                self._lines.popleft()
            else:
                self._lines[0] = self._lines[0][written:]

    def _is_taken(self, record: logging.LogRecord) -> bool:
        message = record.getMessage()
        if record.levelno >= logging.ERROR and message not in self._known_errors:
            self._known_errors.add(message)
            return True
        if record.levelno >= logging.WARNING:
            return self._size < MAX_BUFFERED_BYTES
        second = int(record.created)
        if second != self._second:
            self._second = second
            self._lines_in_second = 0
        self._lines_in_second += 1
        if self._lines_in_second > MAX_LINES_PER_S:
            return False
        return self._size < MAX_BUFFERED_BYTES * (1 - ERROR_SHARE)

    def _report_dropped(self) -> None:
        if not self._dropped or self._size > MAX_BUFFERED_BYTES * (1 - ERROR_SHARE):
            return
        counts, self._dropped = dict(self._dropped), Counter()
        record = logging.makeLogRecord(
            {
                "name": __name__,
                "levelno": logging.WARNING,
                "levelname": "WARNING",
                "msg": "lines dropped",
                "counts": counts,
            }
        )
        self._add(self.format(record))

    def _add(self, text: str) -> None:
        line = text.encode() + b"\n"
        self._lines.append(line)
        self._size += len(line)


def _iso_time(seconds: float) -> str:
    base = time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(seconds))
    return f"{base}.{int(seconds * 1_000) % 1_000:03d}Z"


def configure(stream: TextIO, level: int = logging.INFO) -> logging.Handler:
    """Send every log record of this process to ``stream`` as JSON lines.

    The handler is returned so that a reactor can flush it now and then.
    """
    handler = BoundedHandler(stream.fileno())
    handler.setFormatter(JsonFormatter())
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
    return handler

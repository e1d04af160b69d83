"""Logging as JSON lines: one object per line, with the fields given by ``extra``.

Writes never block on a slow reader: lines that the stream does not accept are buffered
up to a limit, and beyond it lines are dropped and counted by message. Part of the
buffer is reserved for warnings and errors, and the first record with each
error message is never dropped.
"""

import logging
import os
import time
from collections import Counter, deque
from typing import Any, TextIO

import orjson

MAX_BUFFERED_BYTES = 4 * 1024 * 1024
"""Size of the buffer for a slow reader, in bytes: about 10 s at the highest rate."""

RESERVED_FRACTION = 0.5
"""Fraction of the buffer that only warnings and errors may use."""

MAX_LINES_PER_S = 2_000
"""Largest number of lines per second below warning level.

A node at its limits writes 1,000.
"""

_STANDARD_FIELDS = frozenset(vars(logging.makeLogRecord({}))) | {"message", "asctime"}


class JsonFormatter(logging.Formatter):
    """Formats a log record as one line of JSON.

    ``time`` is UTC in ISO 8601 with milliseconds; other keys are ``level``,
    ``logger``, ``message``, the record's extra fields and ``error`` for a traceback.
    """

    def format(self, record: logging.LogRecord) -> str:
        """Return the line, without a line end."""
        entry: dict[str, Any] = {
            "time": _iso_time(record.created),
            "level": record.levelname.lower(),
            "logger": record.name,
            "message": record.getMessage(),
        }
        for name, value in vars(record).items():
            if name not in _STANDARD_FIELDS:
                entry[name] = value
        if record.exc_info:
            entry["error"] = self.formatException(record.exc_info)
        return orjson.dumps(entry, default=str, option=orjson.OPT_NON_STR_KEYS).decode()


class BoundedHandler(logging.Handler):
    """Writes lines to a non-blocking file descriptor, with a bounded buffer."""

    def __init__(self, descriptor: int) -> None:
        """Write to ``descriptor``, which is set to non-blocking mode."""
        super().__init__()
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._lines: deque[bytes] = deque()
        self._buffered_bytes = 0
        self._current_second = 0
        self._lines_in_second = 0
        self._dropped_by_message: Counter[str] = Counter()
        self._seen_errors: set[str] = set()

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record, buffer it, or count it as dropped."""
        if not self._accepts(record):
            self._dropped_by_message[record.getMessage()] += 1
            return
        self._report_dropped()
        self._enqueue(self.format(record))
        self.flush()

    def flush(self) -> None:
        """Write as many buffered bytes as the descriptor accepts now."""
        while self._lines:
            try:
                written = os.write(self._descriptor, self._lines[0])
            except BlockingIOError:
                return
            except OSError:
                # The stream has no reader any more, so this can't be logged either.
                self._lines.clear()
                self._buffered_bytes = 0
                return
            self._buffered_bytes -= written
            if written == len(self._lines[0]):
                self._lines.popleft()
            else:
                self._lines[0] = self._lines[0][written:]

    def _accepts(self, record: logging.LogRecord) -> bool:
        message = record.getMessage()
        if record.levelno >= logging.ERROR and message not in self._seen_errors:
            self._seen_errors.add(message)
            return True
        if record.levelno >= logging.WARNING:
            return self._buffered_bytes < MAX_BUFFERED_BYTES
        second = int(record.created)
        if second != self._current_second:
            self._current_second = second
            self._lines_in_second = 0
        self._lines_in_second += 1
        if self._lines_in_second > MAX_LINES_PER_S:
            return False
        return self._buffered_bytes < MAX_BUFFERED_BYTES * (1 - RESERVED_FRACTION)

    def _report_dropped(self) -> None:
        if not self._dropped_by_message or self._buffered_bytes > MAX_BUFFERED_BYTES * (
            1 - RESERVED_FRACTION
        ):
            return
        counts, self._dropped_by_message = dict(self._dropped_by_message), Counter()
        record = logging.makeLogRecord(
            {
                "name": __name__,
                "levelno": logging.WARNING,
                "levelname": "WARNING",
                "msg": "log lines dropped",
                "counts": counts,
            }
        )
        self._enqueue(self.format(record))

    def _enqueue(self, text: str) -> None:
        line = text.encode() + b"\n"
        self._lines.append(line)
        self._buffered_bytes += len(line)


def _iso_time(seconds: float) -> str:
    base = time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(seconds))
    return f"{base}.{int(seconds * 1_000) % 1_000:03d}Z"


def configure(stream: TextIO, level: int = logging.INFO) -> logging.Handler:
    """Send every log record of this process to ``stream`` as JSON lines.

    Return the handler, so that a reactor can flush it at intervals.
    """
    handler = BoundedHandler(stream.fileno())
    handler.setFormatter(JsonFormatter())
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
    return handler

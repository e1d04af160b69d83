"""Logging as JSON lines: one object per line, with the fields given by ``extra``.

Writes never block on a slow reader: lines that the stream does not accept are buffered
up to a limit, and beyond it lines are dropped and counted by message. Lines are given
up in the order of their :class:`LineClass`: those about runs and waits first, those
about jobs last. The first record with each error message is never dropped, up to a
number of such messages.
"""

import logging
import os
import time
from collections import Counter, deque
from collections.abc import Callable
from contextlib import nullcontext
from enum import Enum
from typing import Any, TextIO

import orjson

MAX_BUFFERED_BYTES = 4 * 1024 * 1024
"""Size of the buffer for a slow reader, in bytes: about 10 s at the highest rate."""

MAX_LINES_PER_S = 2_000
"""Largest number of lines per second below warning level, those about jobs aside.

A node at its limits writes 1,000.
"""

MAX_JOB_LINES_PER_S = 800
"""Largest number of lines about jobs per second.

Callers hand in about 30 jobs per second, bursts and repeated calls bring several times
as many, and a job has two lines on a node that is also the holder.
"""

MAX_DETAIL_LINES_PER_S = 1_000
"""Largest number of lines per second about runs and waits, below the total limit so
that other lines are never given up for them."""

MAX_FIRST_ERRORS = 300
"""Number of error messages whose first record is never dropped."""

MAX_COUNTERS = 200
"""Number of messages or pairs of message and queue that are counted apart from others;
bounds the length of a line with counts."""

MAX_LABEL_CHARACTERS = 100
"""Length to which the messages and queues in counts are cut, in characters."""

OTHERS = "others"
"""Name under which lines are counted that have no counter of their own."""


FLUSH_ERROR = "error while flushing"
"""Label under which unexpected errors in a flush are counted among dropped lines."""


class LineClass(Enum):
    """What a line is about, which decides when it is given up."""

    JOB = "job"
    DETAIL = "detail"
    OTHER = "other"
    WARNING = "warning"


_CLASS_BY_MESSAGE = {
    "job handed in": LineClass.JOB,
    "job refused": LineClass.JOB,
    "job cancelled": LineClass.JOB,
    "job ended": LineClass.JOB,
    "no advice": LineClass.DETAIL,
    "room made": LineClass.DETAIL,
    "run ended": LineClass.DETAIL,
    "run starts": LineClass.DETAIL,
    "start order not confirmed": LineClass.DETAIL,
    "step waits": LineClass.DETAIL,
    "straggler copied": LineClass.DETAIL,
    "straggler stopped": LineClass.DETAIL,
}

_LINES_PER_S_BY_CLASS = {
    LineClass.JOB: MAX_JOB_LINES_PER_S,
    LineClass.DETAIL: MAX_DETAIL_LINES_PER_S,
    LineClass.OTHER: MAX_LINES_PER_S,
}

BUFFER_FRACTION_BY_CLASS = {
    LineClass.DETAIL: 0.4,
    LineClass.OTHER: 0.5,
    LineClass.WARNING: 0.75,
    LineClass.JOB: 1.0,
}
"""Fraction of the buffer up to which lines of a class are accepted."""

REPORT_FRACTION = 0.5
"""Fraction of the buffer above which counts of lines are kept back."""

_NO_SECOND = -1
"""A second that is none of a record's."""

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
            "message": _message(record),
        }
        for name, value in vars(record).items():
            if name not in _STANDARD_FIELDS and name not in entry:
                entry[name] = value
        if record.exc_info:
            entry["error"] = self.formatException(record.exc_info)
        try:
            return _to_json(entry)
        except (TypeError, ValueError, RecursionError):
            return _to_json({name: _as_json(value) for name, value in entry.items()})


class BoundedHandler(logging.Handler):
    """Writes lines to a non-blocking file descriptor, with a bounded buffer."""

    def __init__(self, descriptor: int, clock: Callable[[], float] = time.time) -> None:
        """Write to ``descriptor``, which is set to non-blocking mode.

        ``clock`` returns the wall-clock time in seconds since 1970.
        """
        super().__init__()
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._clock = clock
        self._lines: deque[bytes] = deque()
        self._buffered_bytes = 0
        self._budget = _LineBudget()
        self._summed = _Counts()
        self._dropped = _Counts()
        self._seen_errors: set[str] = set()

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record, buffer it, or count it as summed or dropped."""
        try:
            second = int(record.created)
            self._budget.begin_second(second)
            self._report_counts(second)
            if self._accepts(record):
                self._enqueue(self.format(record))
            self._write()
        except Exception:  # noqa: BLE001  (logging must not end what logs)
            self._dropped.add((_label(record.msg),), record.created)

    def flush(self) -> None:
        """Write as many buffered bytes as the descriptor accepts now.

        Also report the counts of seconds that have passed. An unexpected error is
        counted as a dropped line, as the caller flushes at intervals and would end.
        """
        with self.lock or nullcontext():
            for step in (self._report_past_counts, self._write):
                try:
                    step()
                except Exception:  # noqa: BLE001  (logging must not end what logs)
                    self._dropped.add((FLUSH_ERROR,), time.time())

    def close(self) -> None:
        """Report the counts of the last second, and write what is accepted now."""
        with self.lock or nullcontext():
            self._report_counts(_NO_SECOND)
            self._write()
        super().close()

    def _report_past_counts(self) -> None:
        self._report_counts(int(self._clock()))

    def _write(self) -> None:
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
        """Tell whether to write a record, and count it if not."""
        message = _message(record)
        is_first_error = (
            record.levelno >= logging.ERROR
            and message not in self._seen_errors
            and len(self._seen_errors) < MAX_FIRST_ERRORS
        )
        if is_first_error:
            self._seen_errors.add(message)
            return True
        line_class = _class_of(record.levelno, message)
        if not self._budget.take(line_class):
            if line_class is LineClass.DETAIL:
                queue = _label(getattr(record, "queue", ""))
                self._summed.add((_label(message), queue), record.created)
            else:
                self._dropped.add((_label(message),), record.created)
            return False
        if self._is_filled_to(BUFFER_FRACTION_BY_CLASS[line_class]):
            self._dropped.add((_label(message),), record.created)
            return False
        return True

    def _is_filled_to(self, fraction: float) -> bool:
        return self._buffered_bytes >= MAX_BUFFERED_BYTES * fraction

    def _report_counts(self, second: int) -> None:
        """Write counts that began before ``second``, if the reader keeps up.

        Counts begin anew then, so there is one line of each kind per second at most.
        """
        if self._is_filled_to(REPORT_FRACTION):
            return
        if self._dropped.began_before(second):
            fields = self._dropped.take()
            counts = {message: count for (message,), count in fields["counts"].items()}
            self._report("log lines dropped", logging.WARNING, fields, counts)
        if self._summed.began_before(second):
            fields = self._summed.take()
            nested: dict[str, dict[str, int]] = {}
            for (message, *queues), count in fields["counts"].items():
                nested.setdefault(message, {})["".join(queues)] = count
            self._report("log lines summed", logging.INFO, fields, nested)

    def _report(
        self, message: str, level: int, fields: dict[str, Any], counts: dict[str, Any]
    ) -> None:
        values = {
            "name": __name__,
            "levelno": level,
            "levelname": logging.getLevelName(level),
            "msg": message,
            "since": _iso_time(fields["since"]),
            "counts": counts,
        }
        self._enqueue(self.format(logging.makeLogRecord(values)))

    def _enqueue(self, text: str) -> None:
        line = text.encode() + b"\n"
        self._lines.append(line)
        self._buffered_bytes += len(line)


class _LineBudget:
    """Number of lines that each class may still write in the current second."""

    def __init__(self) -> None:
        self._second = 0
        self._left_by_class: dict[LineClass, int] = {}
        self._left = 0

    def begin_second(self, second: int) -> None:
        """Renew the limits if it is another second."""
        if second != self._second:
            self._second = second
            self._left_by_class = dict(_LINES_PER_S_BY_CLASS)
            self._left = MAX_LINES_PER_S

    def take(self, line_class: LineClass) -> bool:
        """Count a line; return False if its class may write none in this second."""
        if line_class is LineClass.WARNING:
            return True
        left_by_class = self._left_by_class
        is_job = line_class is LineClass.JOB
        if not left_by_class[line_class] or not (is_job or self._left):
            return False
        left_by_class[line_class] -= 1
        self._left -= not is_job
        return True


class _Counts:
    """Counts of lines by label, and the time of the first one."""

    def __init__(self) -> None:
        self._counts: Counter[tuple[str, ...]] = Counter()
        self._since = 0.0

    def began_before(self, second: int) -> bool:
        """Tell whether there are counts, and the first is not of this second.

        Counts of a later second remain from before the clock was set back.
        """
        return bool(self._counts) and int(self._since) != second

    def add(self, labels: tuple[str, ...], at: float) -> None:
        """Count a line that was logged ``at`` seconds since 1970."""
        if not self._counts:
            self._since = at
        if labels not in self._counts and len(self._counts) >= MAX_COUNTERS:
            labels = (OTHERS,)
        self._counts[labels] += 1

    def take(self) -> dict[str, Any]:
        """Return ``counts`` by labels and ``since``, and start anew."""
        counts, self._counts = self._counts, Counter()
        return {"counts": counts, "since": self._since}


def _class_of(level: int, message: str) -> LineClass:
    if level >= logging.WARNING:
        return LineClass.WARNING
    return _CLASS_BY_MESSAGE.get(message, LineClass.OTHER)


def _message(record: logging.LogRecord) -> str:
    """Return a record's message, unformatted if its arguments don't fit."""
    try:
        return record.getMessage()
    except Exception:  # noqa: BLE001  (a caller's ``__str__`` may raise anything)
        return _as_text(record.msg)


def _label(value: object) -> str:
    return _as_text(value)[:MAX_LABEL_CHARACTERS]


def _as_text(value: object) -> str:
    """Return a value as text that can be encoded, whatever it is."""
    try:
        text = value if isinstance(value, str) else str(value)
    except Exception:  # noqa: BLE001  (a caller's ``__str__`` may raise anything)
        text = f"unprintable {type(value).__name__}"
    return text.encode("utf-8", "backslashreplace").decode()


def _as_json(value: object) -> object:
    """Return a value as it is if JSON can express it, else as text."""
    try:
        _to_json(value)
    except (TypeError, ValueError, RecursionError):
        return _as_text(value)
    return value


def _to_json(value: object) -> str:
    return orjson.dumps(
        value, default=_as_text, option=orjson.OPT_NON_STR_KEYS
    ).decode()


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

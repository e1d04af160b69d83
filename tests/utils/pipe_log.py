"""A log handler that writes to a pipe, for tests of slow readers."""

import json
import logging
import os

from tamarackmount.internal.jsonlog import BoundedHandler, JsonFormatter

LATER = 1e9
"""A time after all logged records, in seconds since 1970."""


class PipeLog:
    """A handler that writes to a pipe, which is read only by calls of ``read``."""

    def __init__(self) -> None:
        """Open a pipe with the default buffer size of the system."""
        self.reader, writer = os.pipe()
        os.set_blocking(self.reader, False)
        self.now = LATER
        self.handler = BoundedHandler(writer, lambda: self.now)
        self.handler.setFormatter(JsonFormatter())

    def log(self, text: str, level: int = logging.INFO, **fields: object) -> None:
        """Log one record."""
        values: dict[str, object] = {"name": "t", "msg": text}
        values |= {"levelno": level, "levelname": "X"}
        self.handler.handle(logging.makeLogRecord({**values, **fields}))

    @property
    def buffered_bytes(self) -> int:
        """The size of the lines that are not written yet, in bytes."""
        return self.handler._buffered_bytes

    def read(self, at: float = LATER) -> list[dict[str, object]]:
        """Return all lines that are written or still buffered at a time."""
        self.now = at
        data = b""
        while True:
            self.handler.flush()
            try:
                part = os.read(self.reader, 1 << 20)
            except BlockingIOError:
                break
            data += part
        return [json.loads(line) for line in data.splitlines()]

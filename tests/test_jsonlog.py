"""JSON log lines, and the bounds on lines for a slow reader."""

import json
import logging
import os

from tamarackmount.internal import jsonlog
from tamarackmount.internal.jsonlog import BoundedHandler, JsonFormatter


class PipeLog:
    """A handler that writes to a pipe, which is read only by calls of ``read``."""

    def __init__(self) -> None:
        """Open a pipe with the default buffer size of the system."""
        self.reader, writer = os.pipe()
        os.set_blocking(self.reader, False)
        self.handler = BoundedHandler(writer)
        self.handler.setFormatter(JsonFormatter())

    def log(self, text: str, level: int = logging.INFO, **fields: object) -> None:
        """Log one record."""
        values = {"name": "t", "msg": text, "levelno": level, "levelname": "X"}
        self.handler.handle(logging.makeLogRecord({**values, **fields}))

    def read(self) -> list[dict[str, object]]:
        """Return all lines that are written or still buffered."""
        data = b""
        while True:
            self.handler.flush()
            try:
                part = os.read(self.reader, 1 << 20)
            except BlockingIOError:
                break
            data += part
        return [json.loads(line) for line in data.splitlines()]


def test_a_line_is_json_with_the_extra_fields() -> None:
    pipe = PipeLog()
    pipe.log("job handed in", job="1", left_s=2.5)
    (line,) = pipe.read()
    assert (line["message"], line["job"], line["left_s"]) == ("job handed in", "1", 2.5)


def test_a_slow_reader_loses_lines_but_never_blocks_the_writer() -> None:
    pipe = PipeLog()
    for number in range(jsonlog.MAX_LINES_PER_S):
        pipe.log("much", padding="x" * 5_000, created=100.0 + number / 1e6)
    pipe.log("an error", logging.ERROR)
    lines = pipe.read()
    pipe.log("later", created=200.0)
    lines += pipe.read()
    messages = [line["message"] for line in lines]
    assert "an error" in messages
    assert messages.count("much") < jsonlog.MAX_LINES_PER_S
    dropped = [
        line["counts"] for line in lines if line["message"] == "log lines dropped"
    ]
    assert dropped == [{"much": jsonlog.MAX_LINES_PER_S - messages.count("much")}]


def test_the_line_rate_is_bounded_except_for_warnings() -> None:
    pipe = PipeLog()
    for _ in range(jsonlog.MAX_LINES_PER_S + 5):
        pipe.log("run starts", created=100.0)
    pipe.log("store lost", logging.WARNING, created=100.0)
    messages = [line["message"] for line in pipe.read()]
    assert messages.count("run starts") == jsonlog.MAX_LINES_PER_S
    assert messages.count("store lost") == 1

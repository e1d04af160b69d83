"""JSON log lines, and the bounds on lines for a slow reader."""

import logging
from collections import Counter

import pytest

from tamarackmount.internal import jsonlog
from tests.utils.pipe_log import PipeLog


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
        pipe.log("worker registered", created=100.0)
    pipe.log("store lost", logging.WARNING, created=100.0)
    messages = [line["message"] for line in pipe.read()]
    assert messages.count("worker registered") == jsonlog.MAX_LINES_PER_S
    assert messages.count("store lost") == 1


JOB_MESSAGES = ("job handed in", "job refused", "job cancelled", "job ended")


def count_messages(lines: list[dict[str, object]]) -> Counter[object]:
    return Counter(line["message"] for line in lines)


@pytest.mark.parametrize("message", JOB_MESSAGES)
def test_job_lines_are_kept_in_a_second_full_of_waits(message: str) -> None:
    """Guards against ends of jobs that are lost among lines about waits."""
    pipe = PipeLog()
    lines = []
    for number in range(3 * jsonlog.MAX_LINES_PER_S):
        pipe.log("step waits", created=100.0, queue="stock")
        pipe.log("worker registered", created=100.0)
        if number % 100 == 0:
            pipe.log(message, created=100.0, queue="stock")
            lines += pipe.read(at=100.0)
    counts = count_messages(lines + pipe.read())
    assert counts[message] == 60
    assert counts["step waits"] <= jsonlog.MAX_DETAIL_LINES_PER_S


def test_job_lines_have_a_limit_of_their_own() -> None:
    pipe = PipeLog()
    for _ in range(jsonlog.MAX_JOB_LINES_PER_S + 7):
        pipe.log("job refused", created=100.0)
    pipe.log("run starts", created=100.0)
    lines = pipe.read()
    counts = count_messages(lines)
    assert counts["job refused"] == jsonlog.MAX_JOB_LINES_PER_S
    assert counts["run starts"] == 1
    assert [
        line["counts"] for line in lines if line["message"] == "log lines dropped"
    ] == [{"job refused": 7}]


def test_lines_about_runs_are_summed_once_a_second_by_message_and_queue() -> None:
    """Guards against details that are lost without a count, and many such counts."""
    pipe = PipeLog()
    lines = []
    for second in (100, 101):
        for number in range(jsonlog.MAX_DETAIL_LINES_PER_S + 5):
            at = second + number / 1e6
            queue = "books" if number % 2 else "stock"
            pipe.log("run starts", created=at, queue=queue)
            if number % 100 == 0:
                lines += pipe.read(at=float(second))
        pipe.log("job ended", created=second + 0.9)
    lines += pipe.read()
    summed = [line for line in lines if line["message"] == "log lines summed"]
    assert [line["counts"] for line in summed] == [
        {"run starts": {"stock": 3, "books": 2}}
    ] * 2
    assert summed[0]["since"] == "1970-01-01T00:01:40.001Z"


def test_a_busy_second_before_silence_is_summed_by_the_flush() -> None:
    pipe = PipeLog()
    for _ in range(jsonlog.MAX_DETAIL_LINES_PER_S + 1):
        pipe.log("run ended", created=100.0)
    assert pipe.read()[-1]["message"] == "log lines summed"


def test_a_reader_that_does_not_read_loses_job_lines_last() -> None:
    """Guards against job lines that are given up while details fill the buffer."""
    pipe = PipeLog()
    padding = "x" * 5_000
    for second in range(100, 110):
        for _ in range(400):
            pipe.log("step waits", padding=padding, created=float(second))
            pipe.log("worker registered", padding=padding, created=float(second))
        for _ in range(40):
            pipe.log("job ended", padding=padding, created=float(second))
    assert pipe.buffered_bytes < jsonlog.MAX_BUFFERED_BYTES
    counts = count_messages(pipe.read())
    assert counts["job ended"] == 400
    assert counts["step waits"] < 4_000
    pipe.read()
    for number in range(2_000):
        at = float(200 + number // 500)
        pipe.log("job ended", padding=padding, created=at)
    assert pipe.buffered_bytes < jsonlog.MAX_BUFFERED_BYTES + 2 * len(padding)
    lines = pipe.read()
    (dropped,) = (line for line in lines if line["message"] == "log lines dropped")
    assert dropped["counts"] == {
        "job ended": 2_000 - count_messages(lines)["job ended"]
    }


def test_the_number_of_counters_is_bounded() -> None:
    pipe = PipeLog()
    for number in range(jsonlog.MAX_DETAIL_LINES_PER_S + 1_000):
        pipe.log("run starts", created=100.0, queue=f"queue {number}")
    (summed,) = (x for x in pipe.read() if x["message"] == "log lines summed")
    counts = summed["counts"]
    assert isinstance(counts, dict)
    assert len(counts["run starts"]) == jsonlog.MAX_COUNTERS
    assert counts[jsonlog.OTHERS][""] == 1_000 - jsonlog.MAX_COUNTERS


class Unprintable:
    """A value that raises an error when it is shown."""

    def __str__(self) -> str:
        """Raise an error."""
        raise ValueError

    __repr__ = __str__


@pytest.mark.parametrize(
    "value", ["\udc80", 1 << 70, {("a",): 1}, Unprintable(), b"\xff", {1: 2}]
)
def test_a_field_that_is_not_text_neither_raises_nor_loses_the_line(
    value: object,
) -> None:
    """Guards against a log call that ends what it reports on."""
    pipe = PipeLog()
    pipe.log("job ended", job="1", reason=value, queue=value, created=100.0)
    (line,) = pipe.read()
    assert (line["message"], line["job"]) == ("job ended", "1")
    for _ in range(jsonlog.MAX_DETAIL_LINES_PER_S + 1):
        pipe.log("run starts", queue=value, created=100.0)
    assert pipe.read()[-1]["message"] == "log lines summed"


@pytest.mark.parametrize(
    "fields",
    [
        {"msg": "job %d", "args": ("text",)},
        {"msg": Unprintable(), "args": ()},
        {"msg": "\udc80", "args": ()},
        {"msg": ["a list"], "args": ()},
    ],
)
def test_a_message_that_cannot_be_formatted_does_not_raise(
    fields: dict[str, object],
) -> None:
    pipe = PipeLog()
    pipe.handler.handle(logging.makeLogRecord({"levelno": logging.INFO, **fields}))
    assert len(pipe.read()) == 1


def test_errors_with_ever_new_texts_are_bounded() -> None:
    """Guards against a buffer that grows without end, as first errors have no limit."""
    pipe = PipeLog()
    for number in range(3_000):
        pipe.log(f"failed {number} {'x' * 5_000}", logging.ERROR, created=100.0)
    assert pipe.buffered_bytes < 1.5 * jsonlog.MAX_BUFFERED_BYTES


def test_counts_of_the_last_second_are_written_at_the_end() -> None:
    pipe = PipeLog()
    for _ in range(jsonlog.MAX_DETAIL_LINES_PER_S + 1):
        pipe.log("run ended", queue="stock", created=100.0)
    assert "log lines summed" not in count_messages(pipe.read(at=100.0))
    pipe.handler.close()
    (line,) = pipe.read(at=100.0)
    assert line["counts"] == {"run ended": {"stock": 1}}


def test_an_unexpected_error_in_a_flush_is_counted_and_does_not_leave_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a loop of flushes that ends at the first error."""
    pipe = PipeLog()

    def fail(_second: int) -> None:
        raise ValueError("not foreseen")

    with monkeypatch.context() as patch:
        patch.setattr(pipe.handler, "_report_counts", fail)
        pipe.handler.flush()
    (line,) = pipe.read()
    assert line["message"] == "log lines dropped"
    assert line["counts"] == {jsonlog.FLUSH_ERROR: 1}

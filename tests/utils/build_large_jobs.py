"""Build the bodies of large jobs, as clients submit them."""


def dense_body(step_count: int) -> bytes:
    """Return a job of ``step_count`` steps, in as few bytes as possible."""
    return b'{"steps":[' + b",".join([b'{"count":1}'] * step_count) + b"]}"


def listing_body(entries: int, dependency: int = 0) -> bytes:
    """Return a job of two steps; the second lists its dependency again and again."""
    numbers = b",".join([b"%d" % dependency] * entries)
    return b'{"steps":[{"count":1},{"count":1,"after":[' + numbers + b"]}]}"


def padded_body(size: int) -> bytes:
    """Return a job of one step, padded to ``size`` bytes."""
    return b'{"steps":[{"count":1}]}'.ljust(size)


def labelled_body(size: int) -> bytes:
    """Return a job of one step, whose label makes up for the most of ``size`` bytes."""
    start, end = b'{"steps":[{"count":1,"requirements":"', b'"}]}'
    return start + b"l" * (size - len(start) - len(end)) + end


def scheduled_body(repetitions: int) -> bytes:
    """Return a small job whose one task runs many times, from the year 2100 on."""
    return (
        b'{"repetitions":%d,"intervalMs":1000,"firstRunMs":4102444800000,'
        b'"steps":[{"count":1}]}' % repetitions
    )

"""Build the bodies of large jobs, as clients submit them."""


def dense_body(step_count: int) -> bytes:
    """Return a job of ``step_count`` steps, in as few bytes as possible."""
    return b'{"steps":[' + b",".join([b'{"count":1}'] * step_count) + b"]}"

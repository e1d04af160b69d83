"""Responses that end a connection before its request is complete."""

from dataclasses import dataclass
from enum import Enum

from twisted.web.http import RESPONSES


class RefusalReason(Enum):
    """Why a request was refused before it was complete."""

    BAD_REQUEST = "bad_request"
    BODY_TOO_LARGE = "body_too_large"
    BUFFERS_FULL = "buffers_full"
    NOT_SERVED = "not_served"
    TOO_SLOW = "too_slow"


@dataclass(frozen=True, slots=True)
class Refusal:
    """A response to an incomplete request.

    ``status`` is 0 where the connection is closed without a response.
    ``value`` and ``bound`` are what was measured against which limit, for the log.
    """

    status: int
    reason: RefusalReason
    retry_after_s: int | None = None
    body: bytes = b"{}"
    value: float = 0
    bound: float = 0

    def encode(self) -> bytes:
        """Return the response; it announces that the connection is closed."""
        fields = [
            f"HTTP/1.1 {self.status} ".encode() + RESPONSES[self.status],
            b"Content-Type: application/json",
            b"Content-Length: %d" % len(self.body),
            b"Connection: close",
        ]
        if self.retry_after_s is not None:
            fields.append(b"Retry-After: %d" % self.retry_after_s)
        return b"\r\n".join((*fields, b"", self.body))


def too_large(value: int, bound: int) -> Refusal:
    """Return the refusal of a body of ``value`` bytes, of ``bound`` allowed."""
    return Refusal(413, RefusalReason.BODY_TOO_LARGE, None, b"{}", value, bound)

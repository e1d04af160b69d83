"""HTTP requests with a bound on their size."""

import io
from typing import Any

from twisted.web.http import Request as HttpRequest
from twisted.web.server import Request

MAX_BODY_BYTES = 1024 * 1024
"""Largest body of a caller's request, in bytes."""


class _BoundedBody(io.BytesIO):
    """Keeps a body up to the bound and drops the rest."""

    too_large = False

    def write(self, data: Any) -> int:
        if self.tell() + len(data) > MAX_BODY_BYTES:
            self.too_large = True
            return len(data)
        return super().write(data)


class BoundedRequest(Request):
    """A request whose body is kept in memory, up to the bound."""

    def gotLength(self, length: int | None) -> None:  # noqa: N802, ARG002
        """Prepare to receive the body, whatever its declared length."""
        self.content = _BoundedBody()

    @property
    def too_large(self) -> bool:
        """Whether the body was over the bound."""
        return isinstance(self.content, _BoundedBody) and self.content.too_large


def header(request: HttpRequest, name: str) -> str:
    """Return a header's value, or an empty text."""
    value = request.getHeader(name)
    return value if isinstance(value, str) else ""


def body_of(request: HttpRequest) -> bytes:
    """Return the body of a request."""
    content = request.content
    if content is None:
        return b""
    content.seek(0)
    return bytes(content.read())

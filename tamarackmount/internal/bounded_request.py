"""Twisted HTTP requests whose body size is limited."""

import io
from typing import Any

from twisted.web.http import Request as HttpRequest
from twisted.web.server import Request

MAX_BODY_BYTES = 1024 * 1024
"""Largest accepted body of a request, in bytes, where no configuration sets one."""


class _BoundedBody(io.BytesIO):
    """Stores a body up to ``max_bytes`` and drops the parts beyond it."""

    def __init__(self, max_bytes: int) -> None:
        super().__init__()
        self._max_bytes = max_bytes
        self.too_large = False

    def write(self, data: Any) -> int:
        if self.tell() + len(data) > self._max_bytes:
            self.too_large = True
            return len(data)
        return super().write(data)


class BoundedRequest(Request):
    """A request whose body is kept in memory, up to ``max_body_bytes``."""

    max_body_bytes = MAX_BODY_BYTES

    def gotLength(self, length: int | None) -> None:  # noqa: N802, ARG002
        """Prepare to receive the body; the declared length is ignored."""
        # Decoded forms take many times the memory of the body.
        self._parsePOSTFormSubmission = False
        self.content = _BoundedBody(self.max_body_bytes)

    def parseCookies(self) -> None:  # noqa: N802
        """Leave cookies encoded: decoded, they take many times their length."""

    def requestReceived(  # noqa: N802
        self, command: bytes, path: bytes, version: bytes
    ) -> None:
        """Serve the request; its query stays encoded, as the cookies do."""
        assert self.content is not None
        self.content.seek(0)
        self.args = {}
        self.method, self.uri, self.clientproto = command, path, version
        self.path = path.partition(b"?")[0]
        self.process()  # type: ignore[no-untyped-call]

    @property
    def too_large(self) -> bool:
        """Whether the body is larger than ``max_body_bytes``."""
        return isinstance(self.content, _BoundedBody) and self.content.too_large


def header(request: HttpRequest, name: str) -> str:
    """Return the value of a header, or an empty string if it is missing."""
    # A client may send any bytes, which need not be text in UTF-8.
    value = request.getHeader(name.encode("ascii"))
    return value.decode("latin-1") if isinstance(value, bytes) else ""


def body_of(request: HttpRequest) -> bytes:
    """Return the body of a request."""
    content = request.content
    if content is None:
        return b""
    if isinstance(content, io.BytesIO):
        # Unlike the result of ``read``, it shares the memory of the buffer.
        return content.getvalue()
    content.seek(0)
    return bytes(content.read())

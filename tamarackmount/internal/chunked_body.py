"""Decode bodies in HTTP's chunked transfer coding (RFC 9112, section 7.1)."""

import re
from enum import Enum

MAX_SIZE_LINE_BYTES = 1_024
"""Longest line with the size of a chunk and its extensions, in bytes."""

MAX_TRAILER_BYTES = 16 * 1024
"""Largest size of all trailer fields, in bytes; they are read and ignored."""

_SIZE_LINE = re.compile(rb"([0-9A-Fa-f]{1,16})(?:;[\t\x20-\x7e\x80-\xff]*)?\r\n")
_LINE_END = b"\r\n"


class MalformedChunkError(Exception):
    """The body doesn't follow the chunked transfer coding."""


class _State(Enum):
    SIZE = "size"
    DATA = "data"
    DATA_END = "data end"
    TRAILER = "trailer"
    DONE = "done"


class ChunkedDecoder:
    """Decodes one body; keeps at most one incomplete line.

    ``rest`` has the bytes that follow the body once ``is_done``.
    """

    def __init__(self) -> None:
        """Start before the first chunk."""
        self.rest = b""
        self._state = _State.SIZE
        self._remaining = 0
        self._trailer_bytes = 0
        self._step_by_state = {
            _State.SIZE: self._read_chunks,
            _State.DATA: self._read_data,
            _State.DATA_END: self._read_data_end,
            _State.TRAILER: self._read_trailer,
        }

    @property
    def is_done(self) -> bool:
        """Whether the body has ended."""
        return self._state is _State.DONE

    def decode(self, data: bytes) -> bytes:
        """Return what the next bytes of the connection add to the body.

        Raises MalformedChunkError if they don't follow the coding.
        """
        buffer = self.rest + data
        parts: list[bytes] = []
        position, previous = 0, None
        while self._state is not _State.DONE and (position, self._state) != previous:
            previous = position, self._state
            position = self._step_by_state[self._state](buffer, position, parts)
        self.rest = buffer[position:]
        return b"".join(parts)

    def _read_chunks(self, buffer: bytes, position: int, parts: list[bytes]) -> int:
        """Read chunks that are there as a whole, and the size of the next one."""
        while size_line := _SIZE_LINE.match(buffer, position):
            start = size_line.end()
            size = int(size_line[1], 16)
            end = start + size
            if start - position > MAX_SIZE_LINE_BYTES:
                break
            if not size or buffer[end : end + 2] != _LINE_END:
                self._remaining = size
                self._state = _State.DATA if size else _State.TRAILER
                return start
            parts.append(buffer[start:end])
            position = end + 2
        is_complete = buffer.find(_LINE_END, position) >= 0
        if is_complete or len(buffer) - position > MAX_SIZE_LINE_BYTES:
            raise MalformedChunkError("the size of a chunk is malformed")
        return position

    def _read_data(self, buffer: bytes, position: int, parts: list[bytes]) -> int:
        part = buffer[position : position + self._remaining]
        parts.append(part)
        self._remaining -= len(part)
        if not self._remaining:
            self._state = _State.DATA_END
        return position + len(part)

    def _read_data_end(self, buffer: bytes, position: int, _: list[bytes]) -> int:
        line_end = buffer[position : position + 2]
        if line_end == _LINE_END:
            self._state = _State.SIZE
            return position + 2
        if not _LINE_END.startswith(line_end):
            raise MalformedChunkError("a chunk is longer than its size")
        return position

    def _read_trailer(self, buffer: bytes, position: int, _: list[bytes]) -> int:
        end = buffer.find(_LINE_END, position)
        length = (end if end >= 0 else len(buffer)) - position
        if self._trailer_bytes + length > MAX_TRAILER_BYTES:
            raise MalformedChunkError("the trailer fields are too large")
        if end < 0:
            return position
        self._trailer_bytes += length + 2
        if not length:
            self._state = _State.DONE
        return end + 2

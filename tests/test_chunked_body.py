"""Bodies in the chunked coding are decoded in any pieces; others are refused."""

from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tamarackmount.internal.chunked_body import (
    MAX_SIZE_LINE_BYTES,
    MAX_TRAILER_BYTES,
    ChunkedDecoder,
    MalformedChunkError,
)
from tests.utils.build_channels import chunks


class Decoded:
    """A decoder with what it decoded."""

    def __init__(self) -> None:
        """Start a body."""
        self.parts: list[bytes] = []
        self.rest: list[bytes] = []
        self.decoder = ChunkedDecoder(self.parts.append, self.rest.append)

    def feed(self, data: bytes, size: int) -> None:
        """Decode the bytes in pieces; those after the end are not decoded."""
        for start in range(0, len(data), size):
            if self.rest:
                self.rest.append(data[start:])
                return
            self.decoder.dataReceived(data[start : start + size])


@given(
    body=st.binary(max_size=300),
    chunk=st.integers(1, 40),
    piece=st.integers(1, 40),
    rest=st.binary(max_size=20),
)
def test_a_body_was_decoded_wrongly_when_it_came_in_pieces(
    body: bytes, chunk: int, piece: int, rest: bytes
) -> None:
    decoded = Decoded()
    decoded.feed(chunks(body, chunk) + rest, piece)
    assert b"".join(decoded.parts) == body
    assert b"".join(decoded.rest) == rest


@given(
    piece=st.integers(1, 7),
    extension=st.sampled_from([b"", b";a", b";a=b", b';a="b c"']),
    trailer=st.sampled_from([b"", b"Checksum: 1\r\n", b"A: 1\r\nB: 2\r\n"]),
)
def test_extensions_and_trailers_became_part_of_the_body(
    piece: int, extension: bytes, trailer: bytes
) -> None:
    decoded = Decoded()
    data = b"3" + extension + b"\r\nabc\r\n0" + extension + b"\r\n" + trailer + b"\r\n"
    decoded.feed(data, piece)
    assert (b"".join(decoded.parts), decoded.rest) == (b"abc", [b""])


@pytest.mark.parametrize(
    "data",
    [
        b"x\r\n",
        b"\r\n",
        b"-1\r\n",
        b"0x1\r\na\r\n",
        b"1 \r\na\r\n",
        b"1_0\r\n",
        b"1\r\nab\r\n",
        b"1\na\n",
        b"1;\x00\r\na\r\n",
        b"11111111111111111\r\n",
        b"1;" + b"a" * MAX_SIZE_LINE_BYTES + b"\r\na\r\n",
        b"1" * (MAX_SIZE_LINE_BYTES + 1),
        b"0\r\n" + b"A: 1\r\n" * MAX_TRAILER_BYTES,
        b"0\r\n" + b"A" * (MAX_TRAILER_BYTES + 1),
    ],
)
@pytest.mark.parametrize("piece", [1, 100_000])
def test_malformed_coding_was_accepted_or_kept(data: bytes, piece: int) -> None:
    decoded: Any = Decoded()
    with pytest.raises(MalformedChunkError):
        decoded.feed(data + b"\r\n" * 3, piece)

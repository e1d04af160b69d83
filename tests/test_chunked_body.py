"""Bodies in the chunked coding are decoded in any pieces; others are refused."""

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


def decode(data: bytes, size: int) -> tuple[bytes, bytes]:
    """Return a body that comes in pieces of ``size`` bytes, and what follows it."""
    decoder = ChunkedDecoder()
    body = b""
    for start in range(0, len(data), size):
        body += decoder.decode(data[start : start + size])
        if decoder.is_done:
            return body, decoder.rest + data[start + size :]
    raise AssertionError("the body has no end")


@given(
    body=st.binary(max_size=300),
    chunk=st.integers(1, 40),
    piece=st.integers(1, 40),
    rest=st.binary(max_size=20),
)
def test_a_body_was_decoded_wrongly_when_it_came_in_pieces(
    body: bytes, chunk: int, piece: int, rest: bytes
) -> None:
    assert decode(chunks(body, chunk) + rest, piece) == (body, rest)


@given(
    piece=st.integers(1, 7),
    extension=st.sampled_from([b"", b";a", b";a=b", b';a="b c"']),
    trailer=st.sampled_from([b"", b"Checksum: 1\r\n", b"A: 1\r\nB: 2\r\n"]),
)
def test_extensions_and_trailers_became_part_of_the_body(
    piece: int, extension: bytes, trailer: bytes
) -> None:
    data = b"3" + extension + b"\r\nabc\r\n0" + extension + b"\r\n" + trailer + b"\r\n"
    assert decode(data, piece) == (b"abc", b"")


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
    with pytest.raises(MalformedChunkError):
        decode(data + b"\r\n" * 3, piece)

"""Peer messages on the wire."""

from typing import get_args

import pytest
from hypothesis import given
from hypothesis import strategies as st
from returns.result import Failure, Success

from tamarackmount.ids import MemberId
from tamarackmount.internal.codec import (
    MAX_MESSAGE_BYTES,
    DecodeError,
    Envelope,
    decode,
    encode,
)
from tamarackmount.kernel.messages import HttpHeader, PeerMessage

MAX_U32 = 2**32 - 1

# Cap'n Proto texts can't hold a zero character, JSON texts and names need none.
TEXTS = st.text(
    st.characters(exclude_characters="\0", exclude_categories=["Cs"]), max_size=20
)

st.register_type_strategy(str, TEXTS)
st.register_type_strategy(int, st.integers(0, MAX_U32))

MESSAGE_TYPES = get_args(PeerMessage)


@pytest.mark.parametrize("kind", MESSAGE_TYPES, ids=lambda kind: kind.__name__)
def test_every_message_comes_back_as_it_was_sent(kind: type[PeerMessage]) -> None:
    @given(TEXTS, st.from_type(kind))
    def comes_back(sender: str, message: PeerMessage) -> None:
        envelope = Envelope(MemberId(sender), message)
        assert decode(encode(envelope)) == Success(envelope)

    comes_back()


@given(st.binary(max_size=400))
def test_any_bytes_decode_to_a_message_or_an_error(data: bytes) -> None:
    result = decode(data)
    assert isinstance(result, Success | Failure)


@given(
    st.sampled_from(MESSAGE_TYPES).flatmap(st.from_type),
    st.lists(st.tuples(st.integers(0, 10_000), st.integers(0, 255)), max_size=6),
    st.integers(0, 10_000),
)
def test_damaged_messages_never_raise(
    message: PeerMessage, damage: list[tuple[int, int]], length: int
) -> None:
    data = bytearray(encode(Envelope(MemberId("m1"), message)))
    for place, value in damage:
        data[place % len(data)] = value
    for cut in (bytes(data), bytes(data[: length % (len(data) + 1)])):
        assert isinstance(decode(cut), Success | Failure)


def test_too_large_a_message_is_refused_unread() -> None:
    data = bytes(MAX_MESSAGE_BYTES + 1)
    assert decode(data) == Failure(DecodeError.TOO_LARGE)


def test_headers_keep_their_order() -> None:
    headers = [HttpHeader("b", "1"), HttpHeader("a", "2"), HttpHeader("b", "3")]
    kind = next(one for one in MESSAGE_TYPES if one.__name__ == "ForwardedReply")
    outcome = next(iter(kind.__annotations__["outcome"]))
    reply = kind(1, outcome, "", 0, 200, headers, b"\0x")
    envelope = Envelope(MemberId("m1"), reply)
    assert decode(encode(envelope)).unwrap().message.headers == headers

"""Encoding and decoding of the messages between members."""

from typing import get_args

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Failure, Success

from tamarackmount.ids import DataCentreId, Incarnation, MemberId, Offset
from tamarackmount.internal.codec import MAX_MESSAGE_BYTES, DecodeError, Envelope
from tamarackmount.internal.member_codec import decode, encode
from tamarackmount.kernel.epochs import epoch_of_offset, next_term
from tamarackmount.kernel.job_part import NUMBERS_PER_MS
from tamarackmount.kernel.member_core import NEVER_READ_MS
from tamarackmount.kernel.messages import (
    ForwardedReply,
    Heartbeat,
    HttpHeader,
    JobCopied,
    Outcome,
    PeerMessage,
)

MAX_U32 = 2**32 - 1

# Cap'n Proto texts can't hold a NUL character; the JSON texts and names sent in
# messages contain none.
TEXTS = st.text(
    st.characters(exclude_characters="\0", exclude_categories=["Cs"]), max_size=20
)

st.register_type_strategy(str, TEXTS)
st.register_type_strategy(int, st.integers(0, MAX_U32))

MESSAGE_TYPES = get_args(PeerMessage)


def messages(kind: type[PeerMessage]) -> st.SearchStrategy[PeerMessage]:
    """Return a strategy for messages of a kind."""
    if "status" in kind.__annotations__:
        return st.builds(kind, status=st.integers(100, 999))
    return st.from_type(kind)


ANY_MESSAGE = st.sampled_from(MESSAGE_TYPES).flatmap(messages)


@pytest.mark.parametrize("kind", MESSAGE_TYPES, ids=lambda kind: kind.__name__)
def test_every_message_survives_a_round_trip(kind: type[PeerMessage]) -> None:
    @settings(max_examples=30)
    @given(TEXTS, messages(kind))
    def round_trip(sender: str, message: PeerMessage) -> None:
        envelope = Envelope(MemberId(sender), message)
        assert decode(encode(envelope)) == Success(envelope)

    round_trip()


@given(st.binary(max_size=400))
def test_any_bytes_decode_to_a_message_or_an_error(data: bytes) -> None:
    result = decode(data)
    assert isinstance(result, Success | Failure)


@given(
    ANY_MESSAGE,
    st.lists(st.tuples(st.integers(0, 10_000), st.integers(0, 255)), max_size=6),
    st.integers(0, 10_000),
)
def test_decoding_a_damaged_message_never_raises(
    message: PeerMessage, damaged_bytes: list[tuple[int, int]], length: int
) -> None:
    data = bytearray(encode(Envelope(MemberId("m1"), message)))
    for position, value in damaged_bytes:
        data[position % len(data)] = value
    for cut in (bytes(data), bytes(data[: length % (len(data) + 1)])):
        assert isinstance(decode(cut), Success | Failure)


def test_a_message_over_the_limit_is_not_decoded() -> None:
    data = bytes(MAX_MESSAGE_BYTES + 1)
    assert decode(data) == Failure(DecodeError.TOO_LARGE)


def test_the_largest_numbers_survive_a_round_trip() -> None:
    epoch = next_term(epoch_of_offset(Offset(2**36 - 2)), 63, Incarnation(255))
    assert epoch is not None
    heartbeat = Heartbeat(
        member_id=MemberId("m1"),
        incarnation=Incarnation(2**42),
        data_centre=DataCentreId("dc1"),
        sequence=2**63,
        epoch=epoch,
        owner=MemberId("m1"),
        config_offset=Offset(2**36),
        log_age_ms=NEVER_READ_MS,
    )
    largest_sequence = JobCopied(2**42 * NUMBERS_PER_MS + 5)
    for message in (heartbeat, largest_sequence):
        envelope: Envelope[PeerMessage] = Envelope(MemberId("m1"), message)
        assert decode(encode(envelope)) == Success(envelope)


def test_headers_keep_their_order() -> None:
    headers = [HttpHeader("b", "1"), HttpHeader("a", "2"), HttpHeader("b", "3")]
    reply = ForwardedReply(1, Outcome.ANSWERED, "", 0, 200, headers, b"\0x")
    envelope: Envelope[PeerMessage] = Envelope(MemberId("m1"), reply)
    assert decode(encode(envelope)) == Success(envelope)

"""Messages between entry VMs of different versions."""

from typing import Any, get_args

import pytest
from returns.result import Failure, Success
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport

from tamarackmount.ids import MemberId
from tamarackmount.internal.codec import Codec, DecodeError, Envelope
from tamarackmount.internal.inbound_links import InboundFactory, LinkCounters
from tamarackmount.internal.peer_limits import PeerLimits
from tamarackmount.node.messages import EvacuationSeen, HolderReleased, NodeMessage

CODEC: Codec[NodeMessage] = Codec("node_peer.capnp", NodeMessage)
UNION_TAG = slice(16, 18)
"""The bytes of an encoded envelope that tell which message it has: its first data
field, after the segment table and the root pointer."""

NEWER_TAG = (999).to_bytes(2, "little")


def newer_message() -> bytes:
    """Return a message that only a newer version knows."""
    data = bytearray(CODEC.encode(Envelope(MemberId("n1"), HolderReleased(1))))
    assert data[UNION_TAG] == (6).to_bytes(2, "little")
    data[UNION_TAG] = NEWER_TAG
    return bytes(data)


@pytest.mark.parametrize("is_evacuated", [True, False])
def test_a_notice_survives_a_round_trip(is_evacuated: bool) -> None:
    envelope: Envelope[NodeMessage] = Envelope(
        MemberId("n1"), EvacuationSeen("kyushu-a", 2**40, is_evacuated)
    )
    assert CODEC.decode(CODEC.encode(envelope)) == Success(envelope)


def test_a_message_of_a_newer_version_is_told_from_damaged_ones() -> None:
    assert CODEC.decode(newer_message()) == Failure(DecodeError.UNKNOWN_MESSAGE)
    assert CODEC.decode(b"\1\2\3") == Failure(DecodeError.MALFORMED)


def test_a_message_of_a_newer_version_does_not_close_the_connection() -> None:
    received: list[Any] = []
    counters = LinkCounters()
    limits = PeerLimits(Clock())
    factory = InboundFactory(CODEC, received.append, counters, limits)
    protocol: Any = factory.buildProtocol(None)
    transport: Any = StringTransport()  # type: ignore[no-untyped-call]
    protocol.transport = transport
    known: Envelope[NodeMessage] = Envelope(MemberId("n1"), HolderReleased(1))
    protocol.stringReceived(newer_message())
    protocol.stringReceived(CODEC.encode(known))
    assert received == [known]
    assert not transport.disconnecting
    assert (counters.unknown, counters.malformed) == (1, 0)


def test_the_newest_message_is_the_last_one_of_the_union() -> None:
    # An older version reads the messages before it by their numbers.
    assert get_args(NodeMessage)[-1] is EvacuationSeen
    data = CODEC.encode(Envelope(MemberId("n1"), EvacuationSeen("a", 1, True)))
    assert data[UNION_TAG] == (14 - 1).to_bytes(2, "little")

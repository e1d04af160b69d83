"""Tests of the links between members: reconnection and malformed messages."""

from tamarackmount.ids import Epoch, MemberId
from tamarackmount.internal.addresses import Address
from tamarackmount.internal.codec import MAX_MESSAGE_BYTES, Envelope
from tamarackmount.internal.links import (
    MAX_ABSENT_DELAY_S,
    MAX_RECONNECT_DELAY_S,
    RECONNECT_JITTER_S,
    PeerLinks,
)
from tamarackmount.internal.member_codec import MEMBER_CODEC
from tamarackmount.kernel.messages import HoldingsRequest, PeerMessage
from tests.utils.memory_network import STEP_S, MemoryNetwork

HOST = "127.0.0.1"
PORT = 7001
RECONNECT_S = 2.0
OUTAGE_S = 30.0
MESSAGE = HoldingsRequest(Epoch(7))


def make_receiver(
    network: MemoryNetwork,
) -> tuple[PeerLinks[PeerMessage], list[Envelope[PeerMessage]]]:
    received: list[Envelope[PeerMessage]] = []
    links = PeerLinks(network, MemberId("b"), {}, MEMBER_CODEC, received.append)
    links.listen(Address(HOST, PORT))
    return links, received


def make_sender(network: MemoryNetwork) -> PeerLinks[PeerMessage]:
    addresses = {MemberId("b"): Address(HOST, PORT)}
    return PeerLinks(
        network, MemberId("a"), addresses, MEMBER_CODEC, lambda envelope: None
    )


def test_message_without_a_connection_is_dropped_and_a_later_one_arrives() -> None:
    network = MemoryNetwork()
    _, received = make_receiver(network)
    sender = make_sender(network)
    assert not sender.send(MemberId("b"), MESSAGE)
    network.elapse(RECONNECT_S)
    assert sender.send(MemberId("b"), MESSAGE)
    network.elapse(0.1)
    assert received == [Envelope(MemberId("a"), MESSAGE)]
    assert sender.counters.dropped == 1


def test_messages_arrive_again_after_the_peer_was_restarted() -> None:
    network = MemoryNetwork()
    make_receiver(network)
    sender = make_sender(network)
    sender.send(MemberId("b"), MESSAGE)
    network.elapse(RECONNECT_S)
    network.close_servers_silently()
    network.elapse(0.1)
    _, received = make_receiver(network)
    network.elapse(RECONNECT_S)
    assert sender.send(MemberId("b"), MESSAGE)
    network.elapse(0.1)
    assert received == [Envelope(MemberId("a"), MESSAGE)]


def test_malformed_frames_close_only_their_own_connection() -> None:
    network = MemoryNetwork()
    links, received = make_receiver(network)
    sender = make_sender(network)
    sender.send(MemberId("b"), MESSAGE)
    network.elapse(RECONNECT_S)
    for frame in (b"\x00\x00\x00\x03abc", (MAX_MESSAGE_BYTES + 1).to_bytes(4, "big")):
        client = network.connect(PORT)
        client.write(frame)
        network.elapse(0.1)
        assert client.is_closed
    assert links.counters.malformed == 2
    assert sender.send(MemberId("b"), MESSAGE)
    network.elapse(0.1)
    assert len(received) == 1


def test_peer_that_returns_after_a_long_time_is_reconnected_soon() -> None:
    network = MemoryNetwork()
    links, _ = make_receiver(network)
    sender = make_sender(network)
    sender.send(MemberId("b"), MESSAGE)
    network.elapse(RECONNECT_S)
    links.stop()
    network.close_servers_silently()
    tries_before = len(network.tcpClients)
    network.elapse(OUTAGE_S)
    tries = len(network.tcpClients) - tries_before
    assert tries >= OUTAGE_S / (MAX_RECONNECT_DELAY_S + RECONNECT_JITTER_S + STEP_S)
    make_receiver(network)
    network.elapse(MAX_RECONNECT_DELAY_S + RECONNECT_JITTER_S + 2 * STEP_S)
    assert sender.send(MemberId("b"), MESSAGE)


def test_peer_that_is_away_for_long_is_dialled_less_and_less_often() -> None:
    network = MemoryNetwork()
    network.dead_ports.add(PORT)
    sender = make_sender(network)
    sender.send(MemberId("b"), MESSAGE)
    network.elapse(300.0)
    tries_before = len(network.tcpClients)
    network.elapse(60.0)
    tries = len(network.tcpClients) - tries_before
    assert tries <= 60.0 / MAX_ABSENT_DELAY_S
    assert tries >= 60.0 / (MAX_ABSENT_DELAY_S + 1.0) - 1


def test_peer_that_sends_a_message_is_dialled_at_once() -> None:
    # Guards against a VM that returned and is not reached for as long as the delay.
    network = MemoryNetwork()
    network.dead_ports.add(PORT)
    received: list[Envelope[PeerMessage]] = []
    addresses = {MemberId("b"): Address(HOST, PORT)}
    links = PeerLinks(network, MemberId("a"), addresses, MEMBER_CODEC, received.append)
    links.listen(Address(HOST, PORT + 1))
    links.send(MemberId("b"), MESSAGE)
    network.elapse(300.0)
    network.dead_ports.clear()
    make_receiver(network)
    client = network.connect(PORT + 1)
    data = MEMBER_CODEC.encode(Envelope(MemberId("b"), MESSAGE))
    client.write(len(data).to_bytes(4, "big") + data)
    network.elapse(3 * STEP_S)
    assert len(received) == 1
    assert links.is_open(MemberId("b"))

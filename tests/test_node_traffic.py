"""Rate of control messages between members by size of the fleet."""

import pytest

from tamarackmount.internal.codec import Envelope
from tamarackmount.internal.member_codec import encode
from tests.utils.node_fleet import NodeFleet

MAX_CONTROL_BYTES_PER_S = 18_000
"""Limit of the control traffic that one member sends, in bytes per second."""


def message_rates(
    sizes: tuple[int, ...], duration_s: float = 6.0
) -> tuple[float, float]:
    """Return the mean and the highest number of messages per second of a member."""
    fleet = NodeFleet(sizes=sizes, workers=0)
    fleet.run(8.0)
    fleet.sent_by_member.clear()
    fleet.run(duration_s)
    sent = fleet.sent_by_member.values()
    return sum(sent) / len(fleet.members) / duration_s, max(sent) / duration_s


def heartbeat_bytes() -> int:
    fleet = NodeFleet(sizes=(2,)).configured()
    heartbeat = fleet.node("dc1-a")._heartbeat(fleet.node("dc1-a")._last_tick)
    return len(encode(Envelope(heartbeat.member_id, heartbeat)))


def test_heartbeat_traffic_of_88_members_in_11_data_centres() -> None:
    mean, highest = message_rates((8,) * 11)
    local = 7 / 0.25
    assert mean <= local + 2 * 10
    assert highest * heartbeat_bytes() <= MAX_CONTROL_BYTES_PER_S


@pytest.mark.parametrize("data_centres", [2, 4])
def test_heartbeats_do_not_grow_with_the_number_of_remote_members(
    data_centres: int,
) -> None:
    small, _ = message_rates((2,) + (1,) * (data_centres - 1))
    large, _ = message_rates((2,) + (6,) * (data_centres - 1))
    remote_rate = 2 * (data_centres - 1)
    assert small <= 4.5 + remote_rate
    assert large <= 5 / 0.25 + remote_rate + 2

"""Messages between members as the fleet grows."""

import pytest

from tamarackmount.internal.codec import Envelope
from tamarackmount.internal.member_codec import encode
from tests.utils.node_fleet import NodeFleet

BYTES_PER_SECOND = 18_000
"""What one member may send for control, in bytes a second."""


def rates(sizes: tuple[int, ...], seconds: float = 6.0) -> tuple[float, float]:
    """Return messages a second: the mean member's and the busiest one's."""
    fleet = NodeFleet(sizes=sizes, workers=0)
    fleet.run(8.0)
    fleet.sent_by_member.clear()
    fleet.run(seconds)
    sent = fleet.sent_by_member.values()
    return sum(sent) / len(fleet.members) / seconds, max(sent) / seconds


def heartbeat_bytes() -> int:
    fleet = NodeFleet(sizes=(2,)).configured()
    heartbeat = fleet.node("dc1-a")._heartbeat(fleet.node("dc1-a")._last_tick)
    return len(encode(Envelope(heartbeat.member_id, heartbeat)))


def test_heartbeats_of_eleven_data_centres_of_eight_members() -> None:
    mean, most = rates((8,) * 11)
    local = 7 / 0.25
    assert mean <= local + 2 * 10
    assert most * heartbeat_bytes() <= BYTES_PER_SECOND


@pytest.mark.parametrize("data_centres", [2, 4])
def test_heartbeats_grow_with_data_centres_not_members_elsewhere(
    data_centres: int,
) -> None:
    small, _ = rates((2,) + (1,) * (data_centres - 1))
    large, _ = rates((2,) + (6,) * (data_centres - 1))
    per_centre = 2 * (data_centres - 1)
    assert small <= 4.5 + per_centre
    assert large <= 5 / 0.25 + per_centre + 2

"""Conversion of the daemon's settings to a node's identity, peers and timing."""

from tamarackmount.ids import MemberId
from tamarackmount.internal.addresses import Address
from tamarackmount.kernel.job_effects import SchedulerTiming
from tamarackmount.kernel.membership import Member
from tamarackmount.kernel.node import NodeTiming
from tamarackmount.kernel.request_effects import RequestTiming
from tamarackmount.kernel.timing import Timing
from tamarackmount.settings import Settings
from tamarackmount.units import MS_PER_SECOND


def member_of(settings: Settings) -> Member:
    """Return the member that the settings describe."""
    return Member(settings.member.id, settings.member.data_centre)


def peers_of(settings: Settings) -> list[Member]:
    """Return the other members of the fleet."""
    return [Member(peer.id, peer.data_centre) for peer in settings.peers]


def addresses_of(settings: Settings) -> dict[MemberId, Address]:
    """Return the addresses of the peers by member id."""
    return {peer.id: Address(peer.host, peer.peer_port) for peer in settings.peers}


def timing_of(settings: Settings) -> NodeTiming:
    """Return the timing of every part of the node."""
    timing = settings.timing
    margin_s = timing.clock_margin_ms / MS_PER_SECOND
    return NodeTiming(
        members=Timing(
            heartbeat_s=timing.heartbeat_ms / MS_PER_SECOND,
            owner_lease_s=timing.owner_lease_ms / MS_PER_SECOND,
            clock_margin_s=margin_s,
        ),
        requests=RequestTiming(
            max_ticket_ms=timing.max_ticket_ms,
            clock_margin_ms=timing.clock_margin_ms,
            attempt_memory_ms=timing.attempt_memory_ms,
        ),
        jobs=SchedulerTiming(
            worker_sync_s=timing.worker_sync_ms / MS_PER_SECOND,
            task_lease_s=timing.task_lease_ms / MS_PER_SECOND,
            clock_margin_s=margin_s,
        ),
    )

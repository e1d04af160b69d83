"""Limit what a holder may do while the store does not accept its heartbeats.

Another node may claim ``HEARTBEAT_TIMEOUT_S`` after it read the last heartbeat; its
claim fences what this holder writes. No run starts before the store holds it, so it
remains to limit how long an earlier holder may send orders that are already stored, and
renew the leases of what runs.
"""

from collections.abc import Collection
from enum import Enum

FULL_AUTHORITY_LIMIT_S = 1.5
"""Age of the last accepted heartbeat up to which a holder has full authority, in
seconds; a slow store accepts a heartbeat every second."""

RENEWAL_LIMIT_S = 2.0
"""Age of the last accepted heartbeat up to which a holder renews leases, in seconds;
they last long enough for the next holder to renew them."""

STORE_CONTACT_TIMEOUT_MS = 1_500
"""Time without an answer of the store after which a node does not reach it, in
milliseconds; it answers a node's reads at least every second."""


class HolderAuthority(Enum):
    """What a holder may do: everything, renew leases only, or nothing."""

    FULL = "full"
    RENEW_ONLY = "keep"
    NONE = "none"


def holder_authority(
    heartbeat_age_s: float, peers: int, ages_ms: Collection[int]
) -> HolderAuthority:
    """Return the authority of a holder.

    ``heartbeat_age_s`` is the age of its last accepted heartbeat. ``peers`` is the
    number of other nodes; ``ages_ms`` has an answer of each one that it reaches: how
    long ago the store last answered that node. When these are most of the peers and
    none of them reaches the store, no node can claim, and the holder goes on.
    """
    if heartbeat_age_s <= FULL_AUTHORITY_LIMIT_S:
        return HolderAuthority.FULL
    is_store_unreachable = (
        all(age_ms > STORE_CONTACT_TIMEOUT_MS for age_ms in ages_ms)
        and 2 * len(ages_ms) > peers
    )
    if is_store_unreachable:
        return HolderAuthority.FULL
    return (
        HolderAuthority.RENEW_ONLY
        if heartbeat_age_s <= RENEWAL_LIMIT_S
        else HolderAuthority.NONE
    )

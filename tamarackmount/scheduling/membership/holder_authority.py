"""Limit what a holder may do while the store does not accept its heartbeats.

Another node may claim ``HEARTBEAT_TIMEOUT_S`` after it read the last heartbeat; it then
fences what this holder writes to the store. A worker, however, accepts this holder's
calls until it has had one from the next holder. So the age of the last accepted
heartbeat limits for how long this holder may start runs and renew leases. The runs that
it may start are those that the store holds and, once the store says that runs may be
missing, also others: see ``write_ahead.py``.
"""

from collections.abc import Collection
from enum import Enum

FULL_AUTHORITY_LIMIT_S = 1.5
"""Age of the last accepted heartbeat up to which a holder has full authority, in
seconds; a slow store accepts a heartbeat every second."""

RENEWAL_LIMIT_S = 2.0
"""Age of the last accepted heartbeat up to which a holder renews leases, in seconds;
leases last long enough for the next holder to renew them."""

STORE_CONTACT_TIMEOUT_MS = 1_500
"""Time without an answer of the store after which a node counts as unable to reach it,
in milliseconds; the store answers a node's reads at least every second."""


class HolderAuthority(Enum):
    """What a holder may do.

    ``FULL`` allows everything, ``RENEW_ONLY`` polls that renew leases but no new runs,
    and ``NONE`` neither.
    """

    FULL = "full"
    RENEW_ONLY = "keep"
    NONE = "none"


def holder_authority(
    heartbeat_age_s: float, peers: int, ages_ms: Collection[int]
) -> HolderAuthority:
    """Return the authority of a holder.

    ``heartbeat_age_s`` is the age of its last accepted heartbeat. ``peers`` is the
    number of other nodes; ``ages_ms`` has an answer of each one that it reaches: how
    long ago the store last answered that node. If these are most of the peers and none
    of them reaches the store, the store counts as unreachable for all nodes; none can
    claim then, and the holder keeps full authority.
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

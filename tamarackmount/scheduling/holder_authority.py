"""What a holder may do while it can't show the store that it lives.

Another node may claim the scheduling ``HEARTBEAT_TIMEOUT_S`` after it read the last
sign of life, and fences what this one writes. Nothing starts that the store does not
hold, so what is left to bound is how long an earlier holder may send orders already
stored, and renew the leases of what runs.
"""

from collections.abc import Collection
from enum import Enum

FULL_AUTHORITY_LIMIT_S = 1.5
"""Up to this age of its last accepted sign of life, in seconds, a holder does all: a
slow store answers one each second."""

RENEWAL_LIMIT_S = 2.0
"""Up to this age, in seconds, it renews leases, which last long enough for the next
holder to renew them."""

STORE_CONTACT_TIMEOUT_MS = 1_500
"""A node that heard the store longer ago than this does not reach it, in milliseconds;
its reads are answered at least every second."""


class HolderAuthority(Enum):
    """What a holder may do."""

    FULL = "full"
    RENEW_ONLY = "keep"
    NONE = "none"


def holder_authority(
    heartbeat_age_s: float, peers: int, ages_ms: Collection[int]
) -> HolderAuthority:
    """Return what a holder may do.

    ``heartbeat_age_s`` is the age of its last accepted sign of life. ``ages_ms`` are
    the answers of those of its ``peers`` that it reaches: how long ago they heard the
    store. When most say that they do not reach it either, nobody can claim.
    """
    if heartbeat_age_s <= FULL_AUTHORITY_LIMIT_S:
        return HolderAuthority.FULL
    is_away_for_all = (
        all(age_ms > STORE_CONTACT_TIMEOUT_MS for age_ms in ages_ms)
        and 2 * len(ages_ms) > peers
    )
    if is_away_for_all:
        return HolderAuthority.FULL
    return (
        HolderAuthority.RENEW_ONLY
        if heartbeat_age_s <= RENEWAL_LIMIT_S
        else HolderAuthority.NONE
    )

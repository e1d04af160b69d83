"""What a holder may do while it can't show the store that it lives.

Another node may claim the scheduling ``SILENCE_S`` after it read the last sign of life,
and fences what this one writes. Nothing starts that the store does not hold, so what
is left to bound is how long an earlier holder may send orders already stored, and renew
the leases of what runs.
"""

from collections.abc import Collection
from enum import Enum

FULL_S = 1.5
"""Up to this age of its last accepted sign of life, in seconds, a holder does all: a
slow store answers one each second."""

KEEP_S = 2.0
"""Up to this age, in seconds, it renews leases, which last long enough for the next
holder to renew them."""

NO_CONTACT_MS = 1_500
"""A node that heard the store longer ago than this does not reach it, in milliseconds;
its reads are answered at least every second."""


class Licence(Enum):
    """What a holder may do."""

    FULL = "full"
    KEEP = "keep"
    NONE = "none"


def licence(proof_age_s: float, peers: int, ages_ms: Collection[int]) -> Licence:
    """Return what a holder may do.

    ``proof_age_s`` is the age of its last accepted sign of life. ``ages_ms`` are the
    answers of those of its ``peers`` that it reaches: how long ago they heard the
    store. When most say that they do not reach it either, nobody can claim.
    """
    if proof_age_s <= FULL_S:
        return Licence.FULL
    is_away_for_all = (
        all(age_ms > NO_CONTACT_MS for age_ms in ages_ms) and 2 * len(ages_ms) > peers
    )
    if is_away_for_all:
        return Licence.FULL
    return Licence.KEEP if proof_age_s <= KEEP_S else Licence.NONE

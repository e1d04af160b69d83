"""Epochs: numbers that order the terms of a data centre's owners.

An epoch packs, from the highest bits down: the log offset of the last claim accepted
through the log, the number of terms begun since then without the log, the run of the
claiming member, and the index of that member.
"""

from tamarackmount.ids import Epoch, Incarnation, Offset

TERM_BITS = 28
"""Number of bits below the log offset."""

RUN_BITS = 8
"""Number of bits that distinguish the claims of two runs of a member."""

MEMBER_BITS = 6
"""Number of lowest bits, which distinguish the claims of two members."""

NO_EPOCH = Epoch(0)
"""The epoch before the first owner."""


def epoch_of_offset(offset: Offset) -> Epoch:
    """Return the epoch that a claim at this log offset begins."""
    return Epoch(offset << TERM_BITS)


def next_term(
    epoch: Epoch, member_index: int, incarnation: Incarnation
) -> Epoch | None:
    """Return the epoch after ``epoch`` that a member claims without the log.

    Return ``None`` when the bits that count such epochs since the last logged claim
    are exhausted.
    """
    low_bits = RUN_BITS + MEMBER_BITS
    term = (epoch >> low_bits) + 1
    if term << low_bits >> TERM_BITS != epoch >> TERM_BITS:
        return None
    run = incarnation % (1 << RUN_BITS)
    return Epoch(term << low_bits | run << MEMBER_BITS | member_index)

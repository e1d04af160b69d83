"""Epochs: numbers that order the terms of a data centre's owners.

From the highest bits down: the log offset of the last claim that the log decided,
the count of terms begun since without the log, the claimer's run, and the claimer.
"""

from tamarackmount.ids import Epoch, Incarnation, Offset

TERM_BITS = 28
"""Bits of an epoch below the log offset."""

RUN_BITS = 8
"""Bits of an epoch that tell the claims of two runs of a member apart."""

MEMBER_BITS = 6
"""Lowest bits of an epoch, which tell the claims of two members apart."""

NO_EPOCH = Epoch(0)
"""The epoch before any owner."""


def epoch_of_offset(offset: Offset) -> Epoch:
    """Return the epoch that a claim at this log offset begins."""
    return Epoch(offset << TERM_BITS)


def next_term(
    epoch: Epoch, member_index: int, incarnation: Incarnation
) -> Epoch | None:
    """Return the epoch after ``epoch`` that a member claims without the log.

    ``None`` when the count of such epochs since the last logged claim is spent.
    """
    low_bits = RUN_BITS + MEMBER_BITS
    term = (epoch >> low_bits) + 1
    if term << low_bits >> TERM_BITS != epoch >> TERM_BITS:
        return None
    run = incarnation % (1 << RUN_BITS)
    return Epoch(term << low_bits | run << MEMBER_BITS | member_index)

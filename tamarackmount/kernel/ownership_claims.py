"""Claims of ownership, decided by the log's order, for every data centre.

A reader that starts after retention dropped records doesn't know which claims were
accepted before. It keeps the claims that it reads undecided until a snapshot tells.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from tamarackmount.ids import DataCentreId, Epoch, Offset
from tamarackmount.kernel.epochs import NO_EPOCH, TERM_BITS, epoch_of_offset
from tamarackmount.kernel.log_records import LoggedOwner, OwnerClaim


@dataclass(frozen=True, slots=True)
class PlacedClaim:
    """A claim at its place in the log; ``is_own`` if this run of a member wrote it."""

    offset: Offset
    claim: OwnerClaim
    is_own: bool


class OwnershipClaims:
    """The epoch of the last accepted claim of each data centre."""

    def __init__(self) -> None:
        """Start before the first claim."""
        self._epochs_by_data_centre: dict[DataCentreId, Epoch] = {}
        self._missing_before = Offset(0)
        self._undecided: list[PlacedClaim] = []

    @property
    def is_complete(self) -> bool:
        """Whether no accepted claim may be missing here."""
        return self._missing_before == 0

    def records_dropped(self, first_offset: Offset) -> None:
        """Note that records before ``first_offset`` were dropped unread."""
        self._missing_before = max(self._missing_before, first_offset)

    def decide(self, placed: PlacedClaim) -> Epoch | None:
        """Return the epoch that a claim begins, or ``None`` if it does not.

        A claim is accepted when it expects the epoch of the last accepted claim, or
        a term begun without the log since.
        """
        if not self.is_complete:
            self._undecided.append(placed)
            return None
        claim = placed.claim
        last = self._epochs_by_data_centre.get(claim.data_centre, NO_EPOCH)
        if claim.expected >> TERM_BITS != last >> TERM_BITS:
            return None
        epoch = epoch_of_offset(placed.offset)
        self._epochs_by_data_centre[claim.data_centre] = epoch
        return epoch

    def restore(
        self, owners: Iterable[LoggedOwner], applied: Offset
    ) -> list[PlacedClaim]:
        """Take in the claims accepted before ``applied``, from a snapshot.

        Returns the claims after ``applied`` that can be decided now.
        """
        for owner in owners:
            known = self._epochs_by_data_centre.get(owner.data_centre, NO_EPOCH)
            self._epochs_by_data_centre[owner.data_centre] = max(known, owner.epoch)
        if self.is_complete or applied < self._missing_before:
            return []
        self._missing_before = Offset(0)
        kept, self._undecided = self._undecided, []
        return [placed for placed in kept if placed.offset >= applied]

    def owners(self) -> list[LoggedOwner]:
        """Return the last accepted claims, for a snapshot."""
        return [
            LoggedOwner(data_centre=data_centre, epoch=epoch)
            for data_centre, epoch in self._epochs_by_data_centre.items()
        ]

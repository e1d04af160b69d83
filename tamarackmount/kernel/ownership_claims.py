"""Ownership claims of all data centres, decided by the order of the log.

A reader that starts after retention deleted records doesn't know which claims were
accepted before. It keeps the claims that it reads undecided until a snapshot provides
the earlier ones.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from tamarackmount.ids import DataCentreId, Epoch, Offset
from tamarackmount.kernel.epochs import NO_EPOCH, TERM_BITS, epoch_of_offset
from tamarackmount.kernel.log_records import LoggedOwner, OwnerClaim


@dataclass(frozen=True, slots=True)
class LoggedClaim:
    """A claim and its log offset; ``is_own`` if this run of this member wrote it."""

    offset: Offset
    claim: OwnerClaim
    is_own: bool


class OwnershipClaims:
    """The epoch of the last accepted claim of each data centre."""

    def __init__(self) -> None:
        """Start before the first claim."""
        self._epochs_by_data_centre: dict[DataCentreId, Epoch] = {}
        self._missing_before = Offset(0)
        self._undecided: list[LoggedClaim] = []

    @property
    def is_complete(self) -> bool:
        """Whether no accepted claim can be missing."""
        return self._missing_before == 0

    def records_dropped(self, first_offset: Offset) -> None:
        """Record that the log deleted records before ``first_offset`` unread."""
        self._missing_before = max(self._missing_before, first_offset)

    def decide(self, logged: LoggedClaim) -> Epoch | None:
        """Return the epoch that a claim begins, or ``None`` if it is not accepted.

        A claim is accepted when it expects the epoch of the last accepted claim, or
        that of a term begun since then without the log.
        """
        if not self.is_complete:
            self._undecided.append(logged)
            return None
        claim = logged.claim
        last = self._epochs_by_data_centre.get(claim.data_centre, NO_EPOCH)
        if claim.expected >> TERM_BITS != last >> TERM_BITS:
            return None
        epoch = epoch_of_offset(logged.offset)
        self._epochs_by_data_centre[claim.data_centre] = epoch
        return epoch

    def restore(
        self, owners: Iterable[LoggedOwner], applied: Offset
    ) -> list[LoggedClaim]:
        """Restore the claims accepted before ``applied`` from a snapshot.

        Return the claims from ``applied`` on that can be decided now.
        """
        for owner in owners:
            known = self._epochs_by_data_centre.get(owner.data_centre, NO_EPOCH)
            self._epochs_by_data_centre[owner.data_centre] = max(known, owner.epoch)
        if self.is_complete or applied < self._missing_before:
            return []
        self._missing_before = Offset(0)
        undecided, self._undecided = self._undecided, []
        return [logged for logged in undecided if logged.offset >= applied]

    def owners(self) -> list[LoggedOwner]:
        """Return the last accepted claims, for a snapshot."""
        return [
            LoggedOwner(data_centre=data_centre, epoch=epoch)
            for data_centre, epoch in self._epochs_by_data_centre.items()
        ]

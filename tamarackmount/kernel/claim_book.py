"""Claims of ownership, decided by the log's order, for every data centre."""

from collections.abc import Iterable

from tamarackmount.ids import DataCentreId, Epoch, Offset
from tamarackmount.kernel.log_records import LoggedOwner, OwnerClaim
from tamarackmount.kernel.ownership import NO_EPOCH, TERM_BITS, epoch_of_offset


class ClaimBook:
    """The epoch of the last accepted claim of each data centre."""

    def __init__(self) -> None:
        """Start before the first claim."""
        self._epochs_by_data_centre: dict[DataCentreId, Epoch] = {}

    def decide(self, offset: Offset, claim: OwnerClaim) -> Epoch | None:
        """Return the epoch that a claim begins, or ``None`` if it is refused.

        A claim is accepted when it expects the epoch of the last accepted claim, or
        a term begun without the log since.
        """
        last = self._epochs_by_data_centre.get(claim.data_centre, NO_EPOCH)
        if claim.expected >> TERM_BITS != last >> TERM_BITS:
            return None
        epoch = epoch_of_offset(offset)
        self._epochs_by_data_centre[claim.data_centre] = epoch
        return epoch

    def restore(self, owners: Iterable[LoggedOwner]) -> None:
        """Take in the claims of a snapshot."""
        for owner in owners:
            known = self._epochs_by_data_centre.get(owner.data_centre, NO_EPOCH)
            self._epochs_by_data_centre[owner.data_centre] = max(known, owner.epoch)

    def owners(self) -> list[LoggedOwner]:
        """Return the last accepted claims, for a snapshot."""
        return [
            LoggedOwner(data_centre=data_centre, epoch=epoch)
            for data_centre, epoch in self._epochs_by_data_centre.items()
        ]

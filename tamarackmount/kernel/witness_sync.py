"""Synchronization of an owner's loans with its witness; see ``loan_witness``."""

from collections.abc import Collection

from tamarackmount.ids import Epoch, Instant, MemberId, TicketId
from tamarackmount.kernel.lending import Lending
from tamarackmount.kernel.loan_replicator import LoanReplicator, held_ticket
from tamarackmount.kernel.messages import LoanCopied, LoanCopy, MemberRun
from tamarackmount.kernel.request_effects import DispatcherEffect
from tamarackmount.kernel.slots import Loan, SlotLedger


class WitnessSync:
    """Sends the witness the loans that no other live member can report."""

    def __init__(
        self,
        epoch: Epoch,
        member_id: MemberId,
        ledger: SlotLedger,
        lending: Lending,
        loan_replicator: LoanReplicator,
    ) -> None:
        """Start without members and without a witness."""
        self._epoch = epoch
        self._member_id = member_id
        self._ledger = ledger
        self._lending = lending
        self._loan_replicator = loan_replicator
        self._live: frozenset[MemberId] = frozenset()
        self._unreportable: set[TicketId] = set()
        self._complete_copy_sent = False

    def members_lost(self, lost: frozenset[MemberId]) -> None:
        """Record that later runs of these members cannot report their loans."""
        held = [loan for loan in self._ledger.loans() if loan.member_id in lost]
        self._unreportable.update(loan.ticket_id for loan in held)

    def mark_unreportable(self, ticket_id: TicketId) -> None:
        """Record a loan that its holder's present run, if any, cannot report."""
        self._unreportable.add(ticket_id)

    def loan_ended(self, ticket_id: TicketId) -> None:
        """Record the end of a loan."""
        self._unreportable.discard(ticket_id)

    def loans_needing_witness(self, now: Instant, *, all_loans_known: bool) -> LoanCopy:
        """Return the loans for the next owner.

        Those never granted are void, so they are left out.
        """
        loans = [
            held_ticket(loan, now)
            for loan in self._loans_needing_witness()
            if not self._lending.awaits_replication(loan)
        ]
        return LoanCopy(
            epoch=self._epoch,
            sequence=0,
            loans=loans,
            ended=[],
            runs=self._loan_replicator.runs,
            is_whole=all_loans_known,
        )

    def set_members(
        self,
        live: frozenset[MemberId],
        runs: Collection[MemberRun],
        now: Instant,
        *,
        all_loans_known: bool,
    ) -> list[DispatcherEffect]:
        """Select a witness, or send the present one what changed."""
        lost = self._live - live
        self._live = live
        runs_changed = self._loan_replicator.set_runs(runs)
        if self._loan_replicator.select_witness(live):
            self._complete_copy_sent = False
            if self._loan_replicator.witness is None:
                return self._lending.witness_acknowledged(
                    self._loan_replicator.release_unacknowledged()
                )
            return self._send_all_loans(now, all_loans_known)
        loans = [loan for loan in self._ledger.loans() if loan.member_id in lost]
        if not loans and not runs_changed:
            return []
        return list(self._loan_replicator.replicate(loans, now))

    def acknowledged(
        self, member_id: MemberId, message: LoanCopied
    ) -> list[DispatcherEffect]:
        """Send the grants that waited for the witness to acknowledge their loans."""
        return self._lending.witness_acknowledged(
            self._loan_replicator.acknowledged(member_id, message)
        )

    def tick(self, now: Instant, *, all_loans_known: bool) -> list[DispatcherEffect]:
        """Send all loans until a copy was complete; resend unacknowledged copies.

        A copy counts as complete only once this owner knows all loans itself. Until
        then all loans are sent at each tick.
        """
        return self._send_all_loans(now, all_loans_known) + list(
            self._loan_replicator.tick(now)
        )

    def _send_all_loans(
        self, now: Instant, all_loans_known: bool
    ) -> list[DispatcherEffect]:
        if self._complete_copy_sent or self._loan_replicator.witness is None:
            return []
        self._complete_copy_sent = all_loans_known
        loans = self._loans_needing_witness()
        return list(
            self._loan_replicator.replicate(loans, now, is_whole=all_loans_known)
        )

    def _loans_needing_witness(self) -> list[Loan]:
        reporting = self._live - {self._member_id}
        return [
            loan
            for loan in self._ledger.loans()
            if loan.member_id not in reporting or loan.ticket_id in self._unreportable
        ]

"""What an owner tells its witness of loans, and when; see ``loan_witness``."""

from collections.abc import Collection

from tamarackmount.ids import Epoch, Instant, MemberId, TicketId
from tamarackmount.kernel.lending import Lending
from tamarackmount.kernel.loan_replicator import LoanReplicator, held_ticket
from tamarackmount.kernel.messages import LoanCopied, LoanCopy, MemberRun
from tamarackmount.kernel.request_effects import DispatcherEffect
from tamarackmount.kernel.slots import Loan, SlotLedger


class WitnessKeeping:
    """Loans of one owner that no live member but this one can report."""

    def __init__(
        self,
        epoch: Epoch,
        member_id: MemberId,
        ledger: SlotLedger,
        lending: Lending,
        copies: LoanReplicator,
    ) -> None:
        """Start without members and without a witness."""
        self._epoch = epoch
        self._member_id = member_id
        self._ledger = ledger
        self._lending = lending
        self._copies = copies
        self._live: frozenset[MemberId] = frozenset()
        self._orphans: set[TicketId] = set()
        self._told_whole = False

    def members_lost(self, lost: frozenset[MemberId]) -> None:
        """Note that later runs of these members can't report their loans."""
        held = [loan for loan in self._ledger.loans() if loan.member_id in lost]
        self._orphans.update(loan.ticket_id for loan in held)

    def orphaned(self, ticket_id: TicketId) -> None:
        """Note a loan that its holder's present run, if there is one, can't report."""
        self._orphans.add(ticket_id)

    def ended(self, ticket_id: TicketId) -> None:
        """Note that a loan is over."""
        self._orphans.discard(ticket_id)

    def loans_needing_witness(self, now: Instant, *, knows_all: bool) -> LoanCopy:
        """Return the loans for the next owner; those never granted are void."""
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
            runs=self._copies.runs,
            is_whole=knows_all,
        )

    def set_members(
        self,
        live: frozenset[MemberId],
        runs: Collection[MemberRun],
        now: Instant,
        *,
        knows_all: bool,
    ) -> list[DispatcherEffect]:
        """Choose a witness, or tell the present one of what changed."""
        lost = self._live - live
        self._live = live
        runs_changed = self._copies.set_runs(runs)
        if self._copies.select_witness(live):
            self._told_whole = False
            if self._copies.witness is None:
                return self._lending.witness_acknowledged(self._copies.release_all())
            return self._tell_whole(now, knows_all)
        loans = [loan for loan in self._ledger.loans() if loan.member_id in lost]
        if not loans and not runs_changed:
            return []
        return list(self._copies.replicate(loans, now))

    def copied(
        self, member_id: MemberId, message: LoanCopied
    ) -> list[DispatcherEffect]:
        """Send the grants that waited for the witness to know of the loans."""
        return self._lending.witness_acknowledged(
            self._copies.acknowledged(member_id, message)
        )

    def tick(self, now: Instant, *, knows_all: bool) -> list[DispatcherEffect]:
        """Tell all loans once they are known here; repeat what isn't confirmed."""
        return self._tell_whole(now, knows_all) + list(self._copies.tick(now))

    def _tell_whole(self, now: Instant, knows_all: bool) -> list[DispatcherEffect]:
        if self._told_whole or self._copies.witness is None:
            return []
        self._told_whole = knows_all
        loans = self._loans_needing_witness()
        return list(self._copies.replicate(loans, now, is_whole=knows_all))

    def _loans_needing_witness(self) -> list[Loan]:
        attended = self._live - {self._member_id}
        return [
            loan
            for loan in self._ledger.loans()
            if loan.member_id not in attended or loan.ticket_id in self._orphans
        ]

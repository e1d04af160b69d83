"""What a new owner learns of the earlier one's loans from its witnesses."""

from collections.abc import Collection
from dataclasses import dataclass

from tamarackmount.ids import Epoch, MemberId
from tamarackmount.kernel.messages import HeldTicket, HoldingsReport, MemberRun


@dataclass(frozen=True, slots=True)
class Predecessor:
    """The owner before, and whom nobody can ask; see :class:`WitnessReports`.

    ``missing`` are members that may hold slots and can't be asked, ``recent_runs``
    members' runs that may follow on ones that held slots.
    """

    epoch: Epoch | None = None
    owner: MemberId | None = None
    missing: frozenset[MemberId] = frozenset()
    recent_runs: frozenset[MemberRun] = frozenset()


class WitnessReports:
    """Loans that witnesses tell, and whether these are all there can be.

    They are all when one witness was told the whole of the last epoch, knows every
    newcomer, and counts only on runs that report to this owner, but for the run of
    the owner before, whose loans it was told.
    """

    def __init__(self, predecessor: Predecessor) -> None:
        """Start without reports."""
        self._predecessor = predecessor
        self._is_missing_some = bool(predecessor.missing)
        self._whole: list[frozenset[MemberRun]] = []
        self._tickets: list[HeldTicket] = []

    def member_lost(self) -> None:
        """Note that a member was lost before it reported."""
        self._is_missing_some = True

    def take(self, report: HoldingsReport) -> None:
        """Take in what a member witnessed."""
        if report.witnessed_epoch == self._predecessor.epoch:
            self._whole.append(frozenset(report.witnessed_runs))
        self._tickets += [held for held in report.tickets if held.holder]

    def pop_tickets(self) -> list[HeldTicket]:
        """Return the loans that were told, once."""
        tickets = self._tickets
        self._tickets = []
        return tickets

    def is_complete(self, reporting: Collection[MemberRun]) -> bool:
        """Tell whether no loan is unknown, given the runs that reported."""
        if self._is_missing_some:
            return False
        return any(self._is_whole(runs, reporting) for runs in self._whole)

    def _is_whole(
        self, runs: frozenset[MemberRun], reporting: Collection[MemberRun]
    ) -> bool:
        if not self._predecessor.recent_runs <= runs:
            return False
        others = {run for run in runs if run.member_id != self._predecessor.owner}
        return others <= frozenset(reporting)

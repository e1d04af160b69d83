"""Loans of the previous owner that its witnesses report to a new owner."""

from collections.abc import Collection
from dataclasses import dataclass

from tamarackmount.ids import Epoch, MemberId
from tamarackmount.kernel.messages import HeldTicket, HoldingsReport, MemberRun


@dataclass(frozen=True, slots=True)
class Predecessor:
    """The previous owner and what is known of its members.

    ``missing`` are members that may hold slots and cannot be asked. ``recent_runs``
    are recently started runs of members, whose earlier runs may have held slots.
    """

    epoch: Epoch | None = None
    owner: MemberId | None = None
    missing: frozenset[MemberId] = frozenset()
    recent_runs: frozenset[MemberRun] = frozenset()


class WitnessReports:
    """Loans reported by witnesses, and whether any loan may still be unknown.

    All loans are known when every member that may hold slots could be asked and one
    witness has a complete copy of the previous owner's epoch, knows every recently
    started run, and relies only on runs that reported to this owner. The previous
    owner's run need not report, since the witness holds its loans.
    """

    def __init__(self, predecessor: Predecessor) -> None:
        """Start without reports."""
        self._predecessor = predecessor
        self._has_unreported_member = bool(predecessor.missing)
        self._witnessed_runs: list[frozenset[MemberRun]] = []
        self._tickets: list[HeldTicket] = []

    def member_lost(self) -> None:
        """Record that a member was lost before it reported."""
        self._has_unreported_member = True

    def add_report(self, report: HoldingsReport) -> None:
        """Add the loans that a member knows as a witness."""
        if report.witnessed_epoch == self._predecessor.epoch:
            self._witnessed_runs.append(frozenset(report.witnessed_runs))
        self._tickets += [held for held in report.tickets if held.holder]

    def pop_tickets(self) -> list[HeldTicket]:
        """Remove and return the reported loans."""
        tickets = self._tickets
        self._tickets = []
        return tickets

    def is_complete(self, reported: Collection[MemberRun]) -> bool:
        """Return whether all loans are known, given the runs that reported."""
        if self._has_unreported_member:
            return False
        return any(
            self._covers_all_loans(runs, reported) for runs in self._witnessed_runs
        )

    def _covers_all_loans(
        self, runs: frozenset[MemberRun], reported: Collection[MemberRun]
    ) -> bool:
        if not self._predecessor.recent_runs <= runs:
            return False
        reporting_runs = {
            run for run in runs if run.member_id != self._predecessor.owner
        }
        return reporting_runs <= frozenset(reported)

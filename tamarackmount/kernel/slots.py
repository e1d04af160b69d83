"""Ledger of upstream slots: how many are lent, quarantined and free.

A slot is free again when its loan is returned, or when the loan's deadline plus the
clock margin is over; nothing else frees it. A member that is lost keeps its slots
until then.

At a takeover no slot is provably free: any of them may be held by a member that the
new owner cannot ask, the old owner included. So every slot starts quarantined, until
the longest loan that the old owner can have granted is over. A slot that a live
member reports is turned from quarantined into lent, and is free as soon as that
member returns it. The quarantine ends at once when the old owner's witness reports
the loans that no live member can, and no other member was lost with the old owner.
"""

from collections.abc import Collection, Iterable
from dataclasses import dataclass

from sortedcontainers import SortedList

from tamarackmount.ids import (
    Instant,
    MemberId,
    QueueName,
    RequestId,
    TeamId,
    TicketId,
    UpstreamId,
)
from tamarackmount.kernel.deadline_heap import DeadlineHeap
from tamarackmount.kernel.request_dedup import DedupKey

DEFAULT_SERVICE_S = 0.05
"""Service time in seconds that is assumed of an upstream before any is known."""


@dataclass(frozen=True, slots=True)
class ListedUpstream:
    """An upstream of the platform's list; a leaving one gets no new work."""

    id: UpstreamId
    service: str
    slots: int
    leaving: bool = False


@dataclass(frozen=True, slots=True)
class Loan:
    """One slot lent for one ticket.

    ``lent_until`` is the borrower's latest deadline by the owner's clock, ``ends_at``
    the same plus the clock margin. ``attempt`` is set for non-idempotent requests.
    """

    ticket_id: TicketId
    team_id: TeamId
    queue: QueueName
    upstream_id: UpstreamId
    member_id: MemberId
    request_id: RequestId
    attempt: DedupKey | None
    lent_until: Instant
    ends_at: Instant
    granted_ms: int | None = None


@dataclass(frozen=True, slots=True)
class SlotCount:
    """Slots of one upstream by what is known of them."""

    slots: int
    lent: int
    quarantined: int
    free: int


@dataclass(slots=True)
class _Record:
    listed: ListedUpstream | None = None
    lent: int = 0
    adopted: int = 0
    most_slots: int = 0
    service_s: float = DEFAULT_SERVICE_S
    limit: int | None = None
    indexed_cost: float | None = None
    counted_service: str = ""
    counted_slots: int = 0


class SlotLedger:
    """Slots of every upstream of one data centre, and the loans on them."""

    def __init__(self, quarantined_until: Instant | None) -> None:
        """Start with all slots quarantined until then; ``None`` quarantines none."""
        self._quarantined_until = quarantined_until
        self._records_by_upstream: dict[UpstreamId, _Record] = {}
        self._loans_by_ticket: dict[TicketId, Loan] = {}
        self._loan_ends = DeadlineHeap[TicketId]()
        self._open_by_service: dict[str, SortedList] = {}
        self._usable_by_service: dict[str, int] = {}
        self._upstreams_by_service: dict[str, set[UpstreamId]] = {}

    @property
    def quarantined_until(self) -> Instant | None:
        """When the quarantine of a takeover ends; ``None`` when it is over."""
        return self._quarantined_until

    @property
    def lent(self) -> int:
        """Number of loans on all upstreams."""
        return len(self._loans_by_ticket)

    def set_upstreams(self, upstreams: Iterable[ListedUpstream]) -> None:
        """Replace the list; loans on upstreams that are gone still count."""
        listed_by_id = {upstream.id: upstream for upstream in upstreams}
        self._upstreams_by_service = {}
        for upstream in listed_by_id.values():
            self._records_by_upstream.setdefault(upstream.id, _Record())
            if not upstream.leaving:
                ids = self._upstreams_by_service.setdefault(upstream.service, set())
                ids.add(upstream.id)
        for upstream_id, record in list(self._records_by_upstream.items()):
            self._list(upstream_id, record, listed_by_id.get(upstream_id))

    def set_weight(
        self, upstream_id: UpstreamId, service_s: float, limit: int | None
    ) -> None:
        """Set an upstream's learned service time and most loans at once."""
        record = self._records_by_upstream.get(upstream_id)
        if record is None:
            return
        record.service_s = service_s
        record.limit = limit
        self._reindex(upstream_id, record)

    def select_upstream(
        self, service: str, excluded: Collection[UpstreamId]
    ) -> UpstreamId | None:
        """Return the upstream with a free slot that will likely answer first."""
        for _, upstream_id in self._open_by_service.get(service, ()):
            if upstream_id not in excluded:
                found: UpstreamId = upstream_id
                return found
        return None

    def has_free(self, service: str) -> bool:
        """Tell whether any slot of the service may be lent now."""
        return bool(self._open_by_service.get(service))

    def serves(self, service: str, excluded: Collection[UpstreamId]) -> bool:
        """Tell whether the service has an upstream that stays and is not excluded."""
        ids = self._upstreams_by_service.get(service, set())
        if len(ids) > len(excluded):
            return True
        return any(upstream_id not in excluded for upstream_id in ids)

    def service(self, upstream_id: UpstreamId) -> str:
        """Return the service of an upstream; empty when it is not listed."""
        record = self._records_by_upstream.get(upstream_id)
        if record is None or record.listed is None:
            return ""
        return record.listed.service

    def usable_slots(self, service: str) -> int:
        """Return the slots of the service that are neither quarantined nor closed."""
        return self._usable_by_service.get(service, 0)

    def quarantined_slots(self) -> int:
        """Return how many slots of all upstreams lost members may hold."""
        if self._quarantined_until is None:
            return 0
        return sum(map(self._quarantined, self._records_by_upstream.values()))

    def loan(self, ticket_id: TicketId) -> Loan | None:
        """Return the loan of a ticket."""
        return self._loans_by_ticket.get(ticket_id)

    def loans(self) -> list[Loan]:
        """Return every loan."""
        return list(self._loans_by_ticket.values())

    def add_loan(self, loan: Loan) -> None:
        """Enter a new loan; the upstream must have been picked for it."""
        record = self._records_by_upstream[loan.upstream_id]
        if self._free(record) <= 0:
            raise AssertionError(f"no free slot on {loan.upstream_id}")
        self._enter(loan, record)

    def adopt(self, loan: Loan) -> None:
        """Enter a loan of an earlier owner, in place of a quarantined slot."""
        record = self._records_by_upstream.setdefault(loan.upstream_id, _Record())
        record.adopted += 1
        self._enter(loan, record)

    def remove_loan(self, ticket_id: TicketId) -> Loan | None:
        """End a loan and return it; ``None`` when there is none."""
        loan = self._loans_by_ticket.pop(ticket_id, None)
        if loan is None:
            return None
        self._loan_ends.discard(ticket_id)
        record = self._records_by_upstream[loan.upstream_id]
        record.lent -= 1
        self._reindex(loan.upstream_id, record)
        return loan

    def tick(self, now: Instant) -> list[Loan]:
        """End the quarantine and loans that are over; return those loans."""
        if self._quarantined_until is not None and now >= self._quarantined_until:
            self.end_quarantine()
        ended: list[Loan] = []
        for ticket_id in self._loan_ends.pop_due(now):
            loan = self.remove_loan(ticket_id)
            if loan is not None:
                ended.append(loan)
        return ended

    def counts(self) -> dict[UpstreamId, SlotCount]:
        """Return the slots of each listed upstream."""
        return {
            upstream_id: SlotCount(
                slots=record.listed.slots,
                lent=record.lent,
                quarantined=self._quarantined(record),
                free=self._free(record),
            )
            for upstream_id, record in self._records_by_upstream.items()
            if record.listed is not None
        }

    def _list(
        self,
        upstream_id: UpstreamId,
        record: _Record,
        listed: ListedUpstream | None,
    ) -> None:
        record.listed = listed
        if listed is not None:
            record.most_slots = max(record.most_slots, listed.slots)
        self._reindex(upstream_id, record)
        if listed is None and record.lent == 0 and self._quarantined_until is None:
            del self._records_by_upstream[upstream_id]

    def _enter(self, loan: Loan, record: _Record) -> None:
        self._loans_by_ticket[loan.ticket_id] = loan
        self._loan_ends.set(loan.ticket_id, loan.ends_at)
        record.lent += 1
        self._reindex(loan.upstream_id, record)

    def end_quarantine(self) -> None:
        """Free the quarantined slots, since every loan on them is known."""
        self._quarantined_until = None
        for upstream_id, record in self._records_by_upstream.items():
            self._reindex(upstream_id, record)

    def _quarantined(self, record: _Record) -> int:
        if self._quarantined_until is None:
            return 0
        return max(0, record.most_slots - record.adopted)

    def _most(self, record: _Record) -> int:
        """Return how many slots may be in use, those of lost members apart."""
        if record.listed is None or record.listed.leaving:
            return 0
        most = record.listed.slots - self._quarantined(record)
        if record.limit is not None:
            most = min(most, record.limit)
        return max(0, most)

    def _free(self, record: _Record) -> int:
        return max(0, self._most(record) - record.lent)

    def _reindex(self, upstream_id: UpstreamId, record: _Record) -> None:
        self._usable_by_service[record.counted_service] = (
            self._usable_by_service.get(record.counted_service, 0)
            - record.counted_slots
        )
        open_upstreams = self._open_by_service.get(record.counted_service)
        if open_upstreams is not None and record.indexed_cost is not None:
            open_upstreams.remove((record.indexed_cost, upstream_id))
        record.indexed_cost = None
        record.counted_slots = self._most(record)
        if record.listed is None:
            return
        service = record.listed.service
        record.counted_service = service
        self._usable_by_service[service] = (
            self._usable_by_service.get(service, 0) + record.counted_slots
        )
        if self._free(record) <= 0:
            return
        record.indexed_cost = _expected_s(record, record.listed.slots)
        ranked = self._open_by_service.setdefault(service, SortedList())
        ranked.add((record.indexed_cost, upstream_id))


def _expected_s(record: _Record, slots: int) -> float:
    """Return the time in seconds in which one more request is likely answered."""
    return record.service_s * (1 + record.lent / slots)

"""Ledger of upstream slots: how many are lent, quarantined and free.

A slot is free again when its loan is released, or when the loan's deadline plus the
clock margin has passed; nothing else frees it. The slots of a lost member stay lent
until then.

At a takeover no slot is known to be free: any of them may be held by a member that
the new owner cannot ask, including the previous owner. So every slot starts
quarantined, until the longest loan that the previous owner can have granted is over.
A slot that a live member reports changes from quarantined to lent, and is free as
soon as that member releases it. The quarantine ends at once when the previous owner's
witness reports the loans that no live member can report, and no other member was lost
with the previous owner.
"""

from collections.abc import Collection, Iterable
from dataclasses import dataclass

from sortedcontainers import SortedList

from tamarackmount.ids import (
    Instant,
    MemberId,
    QueueName,
    RequestId,
    TicketId,
    UpstreamId,
    WorkspaceId,
)
from tamarackmount.kernel.deadline_heap import DeadlineHeap
from tamarackmount.kernel.request_dedup import DedupKey

DEFAULT_SERVICE_S = 0.05
"""Assumed service time in seconds of an upstream without any answers."""


@dataclass(frozen=True, slots=True)
class ListedUpstream:
    """An upstream on the platform's list; a leaving one gets no new requests."""

    id: UpstreamId
    service: str
    slots: int
    leaving: bool = False


@dataclass(frozen=True, slots=True)
class Loan:
    """One slot lent for one ticket.

    ``lent_until`` is the borrower's latest deadline by the owner's clock, ``ends_at``
    the same plus the clock margin. ``dedup_key`` is set for non-idempotent requests.
    ``granted_ms`` is the time to use the slot in milliseconds, counted from the ticket
    request; ``None`` for a loan of a former owner.
    """

    ticket_id: TicketId
    team_id: WorkspaceId
    queue: QueueName
    upstream_id: UpstreamId
    member_id: MemberId
    request_id: RequestId
    dedup_key: DedupKey | None
    lent_until: Instant
    ends_at: Instant
    granted_ms: int | None = None


@dataclass(frozen=True, slots=True)
class SlotCount:
    """Slots of one upstream by state.

    ``quarantined`` counts the slots that lost members may still hold.
    """

    slots: int
    lent: int
    quarantined: int
    free: int


@dataclass(slots=True)
class _Record:
    """One upstream.

    ``adopted`` counts the loans of former owners, ``most_slots`` is the largest
    number of slots listed so far. ``indexed_cost`` and the ``counted`` fields are what
    the ledger's indexes hold for the upstream.
    """

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
        """Start with all slots quarantined until then; ``None`` for no quarantine."""
        self._quarantined_until = quarantined_until
        self._records_by_upstream: dict[UpstreamId, _Record] = {}
        self._loans_by_ticket: dict[TicketId, Loan] = {}
        self._loan_ends = DeadlineHeap[TicketId]()
        self._available_by_service: dict[str, SortedList] = {}
        self._usable_by_service: dict[str, int] = {}
        self._upstreams_by_service: dict[str, set[UpstreamId]] = {}

    @property
    def quarantined_until(self) -> Instant | None:
        """End of the quarantine after a takeover; ``None`` when there is none."""
        return self._quarantined_until

    @property
    def lent(self) -> int:
        """Number of loans on all upstreams."""
        return len(self._loans_by_ticket)

    def set_upstreams(self, upstreams: Iterable[ListedUpstream]) -> None:
        """Replace the list; loans on upstreams no longer listed still count."""
        listed_by_id = {upstream.id: upstream for upstream in upstreams}
        self._upstreams_by_service = {}
        for upstream in listed_by_id.values():
            self._records_by_upstream.setdefault(upstream.id, _Record())
            if not upstream.leaving:
                ids = self._upstreams_by_service.setdefault(upstream.service, set())
                ids.add(upstream.id)
        for upstream_id, record in list(self._records_by_upstream.items()):
            self._set_listed(upstream_id, record, listed_by_id.get(upstream_id))

    def set_service_time_and_limit(
        self, upstream_id: UpstreamId, service_s: float, limit: int | None
    ) -> None:
        """Set an upstream's average service time and its limit of concurrent loans."""
        record = self._records_by_upstream.get(upstream_id)
        if record is None:
            return
        record.service_s = service_s
        record.limit = limit
        self._reindex(upstream_id, record)

    def select_upstream(
        self, service: str, excluded: Collection[UpstreamId]
    ) -> UpstreamId | None:
        """Return the free upstream with the shortest expected answer time."""
        for _, upstream_id in self._available_by_service.get(service, ()):
            if upstream_id not in excluded:
                chosen: UpstreamId = upstream_id
                return chosen
        return None

    def has_free(self, service: str) -> bool:
        """Return whether any slot of the service may be lent now."""
        return bool(self._available_by_service.get(service))

    def serves(self, service: str, excluded: Collection[UpstreamId]) -> bool:
        """Return whether the service has an upstream neither leaving nor excluded."""
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
        """Return the service's slots that loans may use, lent ones included."""
        return self._usable_by_service.get(service, 0)

    def quarantined_slots(self) -> int:
        """Return how many slots of all upstreams lost members may still hold."""
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
        """Add a new loan; the upstream must come from :meth:`select_upstream`."""
        record = self._records_by_upstream[loan.upstream_id]
        if self._free(record) <= 0:
            raise AssertionError(f"no free slot to lend on upstream {loan.upstream_id}")
        self._insert(loan, record)

    def adopt_loan(self, loan: Loan) -> None:
        """Add a loan of a former owner in place of a quarantined slot."""
        record = self._records_by_upstream.setdefault(loan.upstream_id, _Record())
        record.adopted += 1
        self._insert(loan, record)

    def remove_loan(self, ticket_id: TicketId) -> Loan | None:
        """Remove a loan and return it; ``None`` when there is none."""
        loan = self._loans_by_ticket.pop(ticket_id, None)
        if loan is None:
            return None
        self._loan_ends.discard(ticket_id)
        record = self._records_by_upstream[loan.upstream_id]
        record.lent -= 1
        self._reindex(loan.upstream_id, record)
        return loan

    def tick(self, now: Instant) -> list[Loan]:
        """End the quarantine when it is due; remove and return the ended loans."""
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

    def _set_listed(
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

    def _insert(self, loan: Loan, record: _Record) -> None:
        self._loans_by_ticket[loan.ticket_id] = loan
        self._loan_ends.set(loan.ticket_id, loan.ends_at)
        record.lent += 1
        self._reindex(loan.upstream_id, record)

    def end_quarantine(self) -> None:
        """End the quarantine, as no loan is unknown any more."""
        self._quarantined_until = None
        for upstream_id, record in self._records_by_upstream.items():
            self._reindex(upstream_id, record)

    def _quarantined(self, record: _Record) -> int:
        if self._quarantined_until is None:
            return 0
        return max(0, record.most_slots - record.adopted)

    def _max_loans(self, record: _Record) -> int:
        """Return how many slots loans may use, quarantined ones excluded."""
        if record.listed is None or record.listed.leaving:
            return 0
        max_loans = record.listed.slots - self._quarantined(record)
        if record.limit is not None:
            max_loans = min(max_loans, record.limit)
        return max(0, max_loans)

    def _free(self, record: _Record) -> int:
        return max(0, self._max_loans(record) - record.lent)

    def _reindex(self, upstream_id: UpstreamId, record: _Record) -> None:
        self._usable_by_service[record.counted_service] = (
            self._usable_by_service.get(record.counted_service, 0)
            - record.counted_slots
        )
        available = self._available_by_service.get(record.counted_service)
        if available is not None and record.indexed_cost is not None:
            available.remove((record.indexed_cost, upstream_id))
        record.indexed_cost = None
        record.counted_slots = self._max_loans(record)
        if record.listed is None:
            return
        service = record.listed.service
        record.counted_service = service
        self._usable_by_service[service] = (
            self._usable_by_service.get(service, 0) + record.counted_slots
        )
        if self._free(record) <= 0:
            return
        record.indexed_cost = _expected_answer_s(record, record.listed.slots)
        ranked = self._available_by_service.setdefault(service, SortedList())
        ranked.add((record.indexed_cost, upstream_id))


def _expected_answer_s(record: _Record, slots: int) -> float:
    """Return the expected time in seconds until one more request is answered."""
    return record.service_s * (1 + record.lent / slots)

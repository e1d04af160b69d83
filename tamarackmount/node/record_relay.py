"""Storing records through the holder, which may be on this node or another one."""

from collections.abc import Callable, Sequence

from tamarackmount.ids import Instant, JobId, MemberId
from tamarackmount.node import clock
from tamarackmount.node.context import NodeContext
from tamarackmount.node.holder_election import HolderElection
from tamarackmount.node.job_limits import JobLimit, JobLimits
from tamarackmount.node.messages import StoreQuery, StoreReply, enum_value
from tamarackmount.node.submissions import (
    MAX_RELAY_TIMEOUT_S,
    NOT_STORED_RESULT,
    StoreOutcome,
    StoreResult,
)
from tamarackmount.node.tasks import spawn_answer
from tamarackmount.platform.store import MAX_KEY_BYTES, KeyedRecord, encoded_bytes
from tamarackmount.scheduling.store.journal import cancelled_job_id_in, job_id_in

_HOLDER_CHANGED = StoreResult(StoreOutcome.UNKNOWN)
"""The result of a record that was with a holder when the next one was ready."""


class RecordRelay:
    """Passes records to the holder, and takes those that other nodes pass to it."""

    def __init__(
        self,
        context: NodeContext,
        election: HolderElection,
        limits: JobLimits,
        may_reach: Callable[[MemberId], bool],
        apply_records: Callable[[Sequence[KeyedRecord]], None],
    ) -> None:
        """Send records to the holder that ``election`` names.

        ``limits`` apply to the jobs that the holder on this node stores. ``may_reach``
        tells whether a node may answer. ``apply_records`` is called with records that
        the holder on this node has stored for others.
        """
        self._context = context
        self._election = election
        self._limits = limits
        self._may_reach = may_reach
        self._apply_records = apply_records

    async def store(self, record: KeyedRecord, timeout_s: float) -> StoreResult | None:
        """Store a record through the holder, on this node or another one.

        Load pattern: the holder is lost, and each caller's record is with it until it
        times out, although the next holder is there by then. So the record is sent to
        the next holder as soon as that one is ready. The lost one may have stored it
        too, so that it does not count as not stored if the next one does not store it.
        """
        deadline = Instant(clock.now() + timeout_s)
        result = await self._election.new_holder_ready.result_before(
            self._store_once(record, timeout_s), _HOLDER_CHANGED
        )
        if result is not _HOLDER_CHANGED:
            return result
        left_s = max(0.0, deadline - clock.now())
        result = await self._store_once(record, left_s)
        if result is None or result.outcome is StoreOutcome.NOT_STORED:
            return StoreResult(StoreOutcome.UNKNOWN)
        if result.outcome is StoreOutcome.REFUSED:
            return result.with_outcome_unknown()
        return result

    async def _store_once(
        self, record: KeyedRecord, timeout_s: float
    ) -> StoreResult | None:
        if self._election.holder is not None:
            deadline = Instant(self._context.reactor.seconds() + timeout_s)
            # The job service on this node has reserved memory for it already.
            return await self._store_here(record, deadline, own_copies=1)
        node = self._election.holder_node
        if node is None or not self._context.links.is_open(node):
            return None
        if not self._may_reach(node):
            # A record that is sent now may arrive once the cut has ended.
            return None
        peers = self._context.peer_calls
        query = StoreQuery(peers.next_call_id(), record.key, record.value)
        reply = await peers.call(node, query, timeout_s)
        if not isinstance(reply, StoreReply):
            return StoreResult(StoreOutcome.UNKNOWN)
        outcome = enum_value(StoreOutcome, reply.stored) or StoreOutcome.UNKNOWN
        return StoreResult(outcome, reply.retry_after_s)

    async def _store_here(
        self, record: KeyedRecord, deadline: Instant, own_copies: int = 0
    ) -> StoreResult:
        """Store a record through the holder on this node, within the limits of jobs.

        The caller has reserved memory for ``own_copies`` copies of it on this node.
        """
        job_id = job_id_in(record.key)
        if job_id is None:
            return await self._store_cancel(record)
        # The caller of a record may be gone before the holder has stored it.
        reservation = self._limits.try_reserve(job_id, record.value)
        if isinstance(reservation, JobLimit):
            return self._refuse(job_id, reservation, own_copies)
        try:
            work = reservation.work_bytes
            if not await self._limits.turns.wait_turn(work, deadline):
                return self._refuse(job_id, JobLimit.LARGE_JOBS, own_copies + 1)
            result = await self._store_at_holder(record)
            return self._check_refusal(job_id, result, own_copies + 1)
        finally:
            self._limits.release(reservation)

    async def _store_cancel(self, record: KeyedRecord) -> StoreResult:
        """Store a cancellation, within the limit for those of unknown jobs."""
        cancelled_id = cancelled_job_id_in(record.key)
        if cancelled_id is not None and not self._limits.can_keep_cancel(
            cancelled_id, record.value
        ):
            retry_after_s = self._limits.refuse(cancelled_id, JobLimit.CANCELS)
            return StoreResult(StoreOutcome.REFUSED, retry_after_s)
        return await self._store_at_holder(record)

    async def _store_at_holder(self, record: KeyedRecord) -> StoreResult:
        holder = self._election.holder
        # The role may have been lost while the record waited for its turn.
        return NOT_STORED_RESULT if holder is None else await holder.store(record)

    def _refuse(self, job_id: JobId, limit: JobLimit, own_copies: int) -> StoreResult:
        """Refuse a job that exceeds a limit, unless it is stored already."""
        holder = self._election.holder
        if holder is not None and holder.phase(job_id) is not None:
            return StoreResult(StoreOutcome.STORED)
        retry_after_s = self._limits.refuse(job_id, limit)
        result = StoreResult(StoreOutcome.REFUSED, retry_after_s)
        return self._check_refusal(job_id, result, own_copies)

    def _check_refusal(
        self, job_id: JobId, result: StoreResult, own_copies: int
    ) -> StoreResult:
        """Return a result, with outcome unknown if a refused job may yet be stored.

        It may if more than ``own_copies`` copies of it wait on this node.
        """
        is_refused = result.outcome is StoreOutcome.REFUSED
        if is_refused and self._limits.has_other_copy(job_id, own_copies):
            return result.with_outcome_unknown()
        return result

    def handle_store_query(self, sender: MemberId, query: StoreQuery) -> None:
        """Store another node's record, if the holder is on this node, and reply."""
        spawn_answer(self._answer_store_query(sender, query))

    def _can_store(self, record: KeyedRecord) -> bool:
        """Tell whether the store can take a record that another node sent."""
        max_bytes = self._context.store.max_record_bytes
        return (
            0 < len(record.key.encode()) <= MAX_KEY_BYTES
            and encoded_bytes(record) <= max_bytes
        )

    async def _answer_store_query(self, sender: MemberId, query: StoreQuery) -> None:
        result = NOT_STORED_RESULT
        record = KeyedRecord(query.key, query.value)
        if self._election.holder is not None and self._can_store(record):
            # The other node waits no longer.
            deadline = self._context.reactor.seconds() + MAX_RELAY_TIMEOUT_S
            result = await self._store_here(record, Instant(deadline))
            if result.outcome is StoreOutcome.STORED:
                self._apply_records([record])
        reply = StoreReply(query.call_id, result.outcome.value, result.retry_after_s)
        self._context.links.send(sender, reply)

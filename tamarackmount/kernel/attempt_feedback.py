"""Recording, by the owner, of the results of request attempts at upstreams."""

from tamarackmount.ids import Instant, UpstreamId
from tamarackmount.kernel.dispatcher_view import DispatcherCounters
from tamarackmount.kernel.messages import AttemptResult, TicketRelease
from tamarackmount.kernel.request_dedup import STATE_BY_RESULT, DedupTable
from tamarackmount.kernel.slots import Loan, SlotLedger
from tamarackmount.kernel.upstream_health import SLOW_FACTOR, UpstreamHealth
from tamarackmount.units import MS_PER_SECOND

TIMEOUT_SLACK_S = 0.1
"""Time before the loan's end, in seconds, in which a failure counts as a timeout."""


class AttemptFeedback:
    """Applies attempt results to health, slot weights, dedup table and counters."""

    def __init__(
        self,
        ledger: SlotLedger,
        health: UpstreamHealth,
        dedup_table: DedupTable,
        counters: DispatcherCounters,
    ) -> None:
        """Apply results to the given components."""
        self._ledger = ledger
        self._health = health
        self._dedup_table = dedup_table
        self._counters = counters

    def update_ledger(self, upstream_id: UpstreamId) -> None:
        """Copy an upstream's service time and limit to the ledger."""
        self._ledger.set_service_time_and_limit(
            upstream_id,
            self._health.service_s(upstream_id),
            self._health.limit(upstream_id),
        )

    def record_result(self, loan: Loan, release: TicketRelease, now: Instant) -> None:
        """Record the result of one attempt."""
        if release.result is AttemptResult.UNUSED:
            self._counters.unused += 1
        elif release.result is AttemptResult.ANSWERED:
            self._counters.answered += 1
            service_s = release.service_ms / MS_PER_SECOND
            self._health.answered(loan.upstream_id, service_s, now)
        else:
            self._counters.failed += 1
            self._record_failure(loan, release, now)
        self.update_ledger(loan.upstream_id)
        self._update_dedup_table(loan, release.result, now)

    def _record_failure(self, loan: Loan, release: TicketRelease, now: Instant) -> None:
        """Record a failure, unless the caller's deadline was too short."""
        median_s = self._health.median_s(self._ledger.service(loan.upstream_id))
        timed_out = now >= loan.lent_until - TIMEOUT_SLACK_S
        if timed_out and median_s is not None:
            ran_s = release.service_ms / MS_PER_SECOND
            if ran_s < SLOW_FACTOR * median_s:
                return
        self._health.failed(loan.upstream_id, now)

    def _update_dedup_table(
        self, loan: Loan, result: AttemptResult, now: Instant
    ) -> None:
        if loan.dedup_key is None:
            return
        state = STATE_BY_RESULT.get(result)
        if state is None:
            self._dedup_table.not_sent(loan.dedup_key, loan.ticket_id)
            return
        self._dedup_table.ended(loan.dedup_key, state, now)

"""What the owner learns from how attempts went."""

from tamarackmount.ids import Instant, UpstreamId
from tamarackmount.kernel.dispatcher_view import DispatcherCounters
from tamarackmount.kernel.messages import AttemptResult, TicketRelease
from tamarackmount.kernel.request_dedup import STATE_BY_RESULT, DedupTable
from tamarackmount.kernel.slots import Loan, SlotLedger
from tamarackmount.kernel.upstream_health import SLOW_FACTOR, UpstreamHealth
from tamarackmount.units import MS_PER_SECOND

TIMEOUT_SLACK_S = 0.1
"""A failure this close to the loan's end, in seconds, counts as a timeout."""


class AttemptFeedback:
    """Passes results on to health, slot weights, attempt memory and counters."""

    def __init__(
        self,
        ledger: SlotLedger,
        health: UpstreamHealth,
        attempts: DedupTable,
        counters: DispatcherCounters,
    ) -> None:
        """Update the given parts."""
        self._ledger = ledger
        self._health = health
        self._attempts = attempts
        self._counters = counters

    def weigh(self, upstream_id: UpstreamId) -> None:
        """Pass what is known of an upstream's health to the ledger."""
        self._ledger.set_weight(
            upstream_id,
            self._health.service_s(upstream_id),
            self._health.limit(upstream_id),
        )

    def learn(self, loan: Loan, release: TicketRelease, now: Instant) -> None:
        """Take in the result of one attempt."""
        if release.result is AttemptResult.UNUSED:
            self._counters.unused += 1
        elif release.result is AttemptResult.ANSWERED:
            self._counters.answered += 1
            service_s = release.service_ms / MS_PER_SECOND
            self._health.answered(loan.upstream_id, service_s, now)
        else:
            self._counters.failed += 1
            self._learn_failure(loan, release, now)
        self.weigh(loan.upstream_id)
        self._remember(loan, release.result, now)

    def _learn_failure(self, loan: Loan, release: TicketRelease, now: Instant) -> None:
        """Count a failure, unless the caller's own deadline was too short."""
        median_s = self._health.median_s(self._ledger.service(loan.upstream_id))
        timed_out = now >= loan.lent_until - TIMEOUT_SLACK_S
        if timed_out and median_s is not None:
            ran_s = release.service_ms / MS_PER_SECOND
            if ran_s < SLOW_FACTOR * median_s:
                return
        self._health.failed(loan.upstream_id, now)

    def _remember(self, loan: Loan, result: AttemptResult, now: Instant) -> None:
        if loan.attempt is None:
            return
        state = STATE_BY_RESULT.get(result)
        if state is None:
            self._attempts.not_sent(loan.attempt, loan.ticket_id)
            return
        self._attempts.ended(loan.attempt, state, now)

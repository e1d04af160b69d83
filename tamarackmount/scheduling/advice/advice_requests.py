"""When to request advice from the advice service, and about which workers.

The advice service takes one request at a time from each entry VM and takes longer the
more workers a request names. So requests are spread over the entry VMs, one at a time
from each; only if none is free, this node sends a request although it is busy.

Load pattern: decisions for one queue take a second each, and those for urgent jobs
30 ms. Without a reserve, the slow ones occupy every entry VM, and urgent jobs wait for
one of them to end. So some entry VMs are reserved for urgent jobs.
"""

import math
from collections.abc import Iterator

from tamarackmount.ids import Instant
from tamarackmount.scheduling.advice.advice_choice import (
    ApprovalRates,
    lacks_capacity,
    may_wait_for,
    workers_to_ask_about,
)
from tamarackmount.scheduling.domain.effects import AskAdvice
from tamarackmount.scheduling.domain.fleet_config import AdvicePolicy
from tamarackmount.scheduling.domain.model import StepKey, WorkerIncarnation
from tamarackmount.scheduling.jobs.ranking import URGENT_PRIORITY, Tier, rank, tier
from tamarackmount.scheduling.jobs.runs import StepState, WaitReason
from tamarackmount.scheduling.jobs.step_advice import AdviceAnswer
from tamarackmount.scheduling.placement.worker_choice import could_run
from tamarackmount.scheduling.scheduler_state import SchedulerState
from tamarackmount.scheduling.workers.free_capacity import FreeCapacityIndex
from tamarackmount.scheduling.workers.workers import WorkerState
from tamarackmount.units import MS_PER_SECOND

ADVICE_RETRY_DELAY_S = 0.2
"""Delay before an unanswered request is repeated, in seconds; the usual length of a
short link fault."""

ADVICE_CHECK_INTERVAL_S = 0.05
"""Minimum time between two checks whether a step needs a request, in seconds. It is
short compared with the lead at which tickets are renewed: the expected decision time,
this interval and ``TICKET_MARGIN_S``, of which it is a third."""

LOOK_AHEAD_INTERVAL_S = 0.03
"""Minimum time between two looks at all steps that wait for others, in seconds; the
steps before them take many times as long."""

URGENT_RESERVE = 0.125
"""Fraction of the entry VMs that only requests for urgent jobs may use, without
unit."""


class AdviceRequests:
    """Sends advice requests for steps, and records their answers."""

    def __init__(self, state: SchedulerState) -> None:
        """Begin with the steps of ``state`` and no request in flight."""
        self._state = state
        self._requested_by_step: dict[StepKey, tuple[WorkerIncarnation, ...]] = {}
        self._approval_rates = ApprovalRates()
        self._next_look_ahead_at = Instant(0.0)
        self.max_concurrent = 1

    def send_due_requests(
        self, capacity_index: FreeCapacityIndex, now: Instant
    ) -> None:
        """Request advice for the most urgent steps, up to the concurrency limits.

        Ready steps come first, then steps that wait for others.
        """
        in_use = len(self._requested_by_step)
        if in_use >= self.max_concurrent:
            return
        non_urgent_limit = self._non_urgent_limit()
        for step, is_ready in self._steps_by_urgency(now):
            is_urgent = step.job.priority == URGENT_PRIORITY
            if in_use >= (self.max_concurrent if is_urgent else non_urgent_limit):
                continue
            in_use += self._request_advice(step, capacity_index, now, is_ready)
            if in_use >= self.max_concurrent:
                return

    def _non_urgent_limit(self) -> int:
        """Return the number of requests from which on only urgent ones are sent."""
        reserved = math.ceil(URGENT_RESERVE * self.max_concurrent)
        return max(1, self.max_concurrent - reserved)

    def _steps_by_urgency(self, now: Instant) -> Iterator[tuple[StepState, bool]]:
        """Yield steps that may need advice, and whether they are ready."""
        ready_steps = self._state.ready_steps_by_key.values()
        for step in sorted(ready_steps, key=lambda step: rank(step, now)):
            if not _tickets_would_expire_unused(step, now):
                yield step, True
        if now < self._next_look_ahead_at:
            return
        self._next_look_ahead_at = Instant(now + LOOK_AHEAD_INTERVAL_S)
        for step in self._waiting_steps():
            yield step, False

    def _waiting_steps(self) -> Iterator[StepState]:
        """Yield steps that are not ready yet: they will need advice later."""
        state = self._state
        for job in sorted(state.jobs_by_id.values(), key=lambda job: job.target_at):
            if job.phase.is_final:
                continue
            for step in job.steps_by_key.values():
                if step.pending and step.key not in state.ready_steps_by_key:
                    yield step

    def handle_answer(
        self, key: StepKey, answer: AdviceAnswer | None, now: Instant
    ) -> None:
        """Record the advice service's answer; None means that there was none."""
        incarnations = self._requested_by_step.pop(key, ())
        job = self._state.jobs_by_id.get(key.job_id)
        step = job.steps_by_key.get(key) if job is not None else None
        if step is None:
            return
        step.advice.request_in_flight = False
        if answer is None:
            step.advice.retry_at = Instant(now + ADVICE_RETRY_DELAY_S)
            return
        self._approval_rates.record_answer(
            step.job.accepted.queue_name, len(incarnations), len(answer.tickets)
        )
        step.advice.record_answer(incarnations, answer, now)
        workers = self._state.find_workers(incarnations)
        step.advice.release_tickets(
            [worker.incarnation for worker in workers if worker.is_evacuated]
        )

    def _request_advice(
        self,
        step: StepState,
        capacity_index: FreeCapacityIndex,
        now: Instant,
        is_ready: bool,
    ) -> int:
        """Request advice for a step if it needs any; return the number of requests.

        Tickets are renewed only for a step that ``is_ready``.
        """
        advice = step.advice
        queue = self._state.queue_of(step.job)
        if queue.advice is None:
            return 0
        if (
            advice.request_in_flight
            or now < advice.retry_at
            or now < advice.next_check_at
        ):
            return 0
        workers = self._workers_to_ask_about(step, capacity_index, now)
        if not workers and is_ready:
            workers = self._workers_to_renew(step, queue.advice, now)
        if not workers:
            advice.next_check_at = Instant(now + ADVICE_CHECK_INTERVAL_S)
            return 0
        advice.request_in_flight = True
        incarnations = tuple(worker.incarnation for worker in workers)
        self._requested_by_step[step.key] = incarnations
        expected = _expected_decision_ms(queue.advice, len(incarnations))
        ids = tuple(incarnation.worker_id for incarnation in incarnations)
        self._state.emit(AskAdvice(step.key, ids, expected))
        return 1

    def _workers_to_ask_about(
        self, step: StepState, capacity_index: FreeCapacityIndex, now: Instant
    ) -> list[WorkerState]:
        """Return the workers that a request for new tickets names.

        All workers are looked at only if that can change the result.
        """
        advice = step.advice
        allowed = [
            worker
            for worker in self._state.find_workers(advice.allowed.values())
            if worker.can_start
            and now >= worker.backoff_until
            and could_run(step, worker)
        ]
        if not lacks_capacity(step, allowed):
            return []

        def is_undecided(worker: WorkerState) -> bool:
            worker_id, _ = incarnation = worker.incarnation
            return (
                worker_id not in advice.refused
                and advice.allowed.get(worker_id) != incarnation
            )

        if may_wait_for(step, allowed) and not (
            capacity_index.has_fitting_worker(step, is_undecided)
        ):
            return []
        undecided = [
            worker
            for worker in self._state.workers_by_incarnation.values()
            if is_undecided(worker) and worker.can_start and could_run(step, worker)
        ]
        approval = self._approval_rates.fraction(step.job.accepted.queue_name)
        return workers_to_ask_about(step, undecided, allowed, approval)

    def _workers_to_renew(
        self, step: StepState, policy: AdvicePolicy, now: Instant
    ) -> list[WorkerState]:
        """Return allowed workers whose tickets expire before new ones could arrive."""
        advice = step.advice
        allowed_count = len(advice.allowed)
        needed_until = Instant(
            now
            + _expected_decision_ms(policy, allowed_count) / MS_PER_SECOND
            + ADVICE_CHECK_INTERVAL_S
        )
        if advice.all_tickets_usable(needed_until):
            return []
        return [
            worker
            for worker in self._state.find_workers(advice.allowed.values())
            if worker.can_start
            and not advice.usable_ticket(worker.incarnation, needed_until)
        ]


def _tickets_would_expire_unused(step: StepState, now: Instant) -> bool:
    """Tell whether tickets of a step would expire before they could be used.

    Load pattern: after a flood, hundreds of late steps wait for capacity or because
    of their workspaces' ceilings. Repeated requests for them would leave the advice
    service no time for the steps that could start.
    """
    is_blocked = step.wait_reason in (
        WaitReason.CEILING,
        WaitReason.NO_CAPACITY,
        WaitReason.HEADROOM,
    )
    return is_blocked and tier(step, now) > Tier.IN_TIME


def _expected_decision_ms(policy: AdvicePolicy, workers: int) -> float:
    return policy.decision_ms + policy.per_worker_ms * workers

"""When to ask the policy service, and about which workers.

The service takes one question at a time from each entry VM and needs longer the more
workers are named, so questions are spread over lanes, one on each entry VM.
"""

from collections.abc import Iterator

from tamarackmount.ids import Instant
from tamarackmount.resources import Resources
from tamarackmount.scheduling.effects import AskAdvice
from tamarackmount.scheduling.fleet_config import AdvicePolicy
from tamarackmount.scheduling.model import StepKey, WorkerIncarnation
from tamarackmount.scheduling.placement import could_run
from tamarackmount.scheduling.ranking import Tier, rank, tier
from tamarackmount.scheduling.runs import StepState, WaitReason
from tamarackmount.scheduling.scheduler_state import SchedulerState
from tamarackmount.scheduling.step_advice import AdviceAnswer
from tamarackmount.scheduling.workers import WorkerState
from tamarackmount.units import MS_PER_SECOND

RETRY_ADVICE_S = 0.2
"""Pause after a question without an answer, in seconds; a link's usual hiccup."""

ADVICE_CHECK_INTERVAL_S = 0.05
"""Pause between two looks whether there is anything to ask for a step, in seconds: a
third of what tickets are renewed ahead."""

MAX_WORKERS_PER_REQUEST = 60
"""Workers in one question: enough choice, while the service's time stays short."""


class AdviceRequests:
    """Questions under way, and the steps that wait for one."""

    def __init__(self, state: SchedulerState) -> None:
        """Ask for the steps of ``state``."""
        self._state = state
        self._asked_by_step: dict[StepKey, tuple[WorkerIncarnation, ...]] = {}
        self.max_concurrent = 1

    def send_due_requests(self, now: Instant) -> None:
        """Ask for as many steps as there are free lanes, the most urgent first."""
        free = self.max_concurrent - len(self._asked_by_step)
        if free <= 0:
            return
        state = self._state
        for step in sorted(
            state.ready_steps_by_key.values(), key=lambda row: rank(row, now)
        ):
            if _is_in_vain(step, now):
                continue
            free -= self._ask_for(step, now, True)
            if free <= 0:
                return
        for step in self._later_steps():
            free -= self._ask_for(step, now, False)
            if free <= 0:
                return

    def _later_steps(self) -> Iterator[StepState]:
        """Return steps that wait for others; their answers will be needed."""
        state = self._state
        for job in sorted(state.jobs_by_id.values(), key=lambda row: row.target_at):
            if job.phase.is_final:
                continue
            for step in job.steps_by_key.values():
                if step.pending and step.key not in state.ready_steps_by_key:
                    yield step

    def handle_answer(
        self, key: StepKey, answer: AdviceAnswer | None, now: Instant
    ) -> None:
        """Take the service's answer, or that there was none."""
        incarnations = self._asked_by_step.pop(key, ())
        job = self._state.jobs_by_id.get(key.job_id)
        step = job.steps_by_key.get(key) if job is not None else None
        if step is None:
            return
        step.advice.request_in_flight = False
        if answer is None:
            step.advice.retry_at = Instant(now + RETRY_ADVICE_S)
            return
        step.advice.record_answer(incarnations, answer, now)

    def _ask_for(self, step: StepState, now: Instant, is_ready: bool) -> int:
        """Ask for one step if that helps; return the number of lanes taken."""
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
        workers = self._unknown(step)
        if not workers and is_ready:
            workers = self._stale(step, queue.advice, now)
        if not workers:
            advice.next_check_at = Instant(now + ADVICE_CHECK_INTERVAL_S)
            return 0
        asked = _roomiest(workers)
        advice.request_in_flight = True
        incarnations = tuple(worker.incarnation for worker in asked)
        self._asked_by_step[step.key] = incarnations
        expected = _expected_ms(queue.advice, len(incarnations))
        ids = tuple(incarnation.worker_id for incarnation in incarnations)
        self._state.emit(AskAdvice(step.key, ids, expected))
        return 1

    def _unknown(self, step: StepState) -> list[WorkerState]:
        advice = step.advice
        return [
            worker
            for worker in self._state.workers_by_incarnation.values()
            if worker.incarnation.worker_id not in advice.allowed
            and worker.incarnation.worker_id not in advice.refused
            and worker.can_start
            and could_run(step, worker)
        ]

    def _stale(
        self, step: StepState, policy: AdvicePolicy, now: Instant
    ) -> list[WorkerState]:
        """Return allowed workers whose tickets end before new ones could come."""
        advice = step.advice
        known = len(advice.allowed)
        soon = Instant(
            now + _expected_ms(policy, known) / MS_PER_SECOND + ADVICE_CHECK_INTERVAL_S
        )
        if advice.all_tickets_valid(soon):
            return []
        return [
            worker
            for worker in self._state.workers_by_incarnation.values()
            if worker.incarnation.worker_id in advice.allowed
            and worker.can_start
            and not advice.usable_ticket(worker.incarnation, soon)
        ]


def _roomiest(workers: list[WorkerState]) -> list[WorkerState]:
    """Return the workers to ask about first: those that could take most now."""
    if len(workers) <= MAX_WORKERS_PER_REQUEST:
        return workers
    rows = sorted(workers, key=lambda row: _room_key(row.free), reverse=True)
    return rows[:MAX_WORKERS_PER_REQUEST]


def _room_key(free: Resources) -> tuple[int, int, int]:
    return free.accelerators, free.millicores, free.memory_mib


def _is_in_vain(step: StepState, now: Instant) -> bool:
    """Tell whether permissions would end before they could be used.

    Load pattern: after a flood hundreds of late steps wait at ceilings or for room.
    Asking for them again and again leaves none of the service's time for those that
    could start.
    """
    is_blocked = step.wait_reason in (WaitReason.CEILING, WaitReason.NO_CAPACITY)
    return is_blocked and tier(step, now) > Tier.IN_TIME


def _expected_ms(policy: AdvicePolicy, workers: int) -> float:
    return policy.decision_ms + policy.per_worker_ms * workers

"""Replay of arrivals at a scheduler whose steps need tickets, in virtual time.

The advice service handles one request at a time for each entry VM, as on the platform.
"""

from dataclasses import dataclass, replace

from tamarackmount.ids import Instant, QueueName, WorkerId
from tamarackmount.resources import Resources
from tamarackmount.scheduling.domain.accepted_job import AcceptedJob
from tamarackmount.scheduling.domain.effects import AskAdvice
from tamarackmount.scheduling.domain.fleet_config import AdvicePolicy
from tamarackmount.scheduling.jobs.step_advice import AdviceAnswer, WorkerTicket
from tests.utils.build_scheduling import (
    SchedulerHarness,
    fleet_config,
    incarnation,
    worker_entry,
)

TICK_S = 0.005
"""Step of virtual time, in seconds."""

ALLOWED_SHARE = 0.5
"""Share of the workers that the replayed service allows for a step."""


@dataclass(frozen=True, slots=True)
class _Decision:
    request: AskAdvice
    ends_at: Instant


class AdviceReplay:
    """Idle workers, entry VMs, and jobs that arrive at given times."""

    def __init__(
        self,
        policy_by_queue: dict[QueueName, AdvicePolicy],
        workers: int,
        entry_vms: int,
    ) -> None:
        """Register ``workers`` that are large enough for all tasks of a replay."""
        self.harness = SchedulerHarness(ceiling=Resources())
        config = fleet_config(ceiling=Resources())
        queues = {
            name: replace(queue, advice=policy_by_queue.get(name))
            for name, queue in config.queues_by_name.items()
        }
        self._config = replace(config, queues_by_name=queues)
        self.harness.scheduler.set_fleet_config(self._config, self.harness.now)
        self.harness.scheduler.set_advice_concurrency(entry_vms)
        self.harness.register_workers(
            *(
                worker_entry(f"w{number}", 32, incarnation=incarnation(f"w{number}"))
                for number in range(workers)
            )
        )
        self._decisions: list[_Decision] = []
        self.requests: list[AskAdvice] = []
        self.wait_s_by_job: dict[str, float] = {}

    def run(self, arrivals: list[tuple[float, AcceptedJob]], seconds: float) -> None:
        """Submit jobs at their times, in seconds, and note when each first starts."""
        began_at = self.harness.now
        waiting = sorted(arrivals, key=lambda row: row[0])
        arrival_s_by_job = {job.job_id: at for at, job in arrivals}
        while self.harness.now - began_at < seconds:
            passed_s = self.harness.now - began_at
            while waiting and passed_s >= waiting[0][0]:
                self.harness.submit_job(waiting.pop(0)[1])
            self._decide()
            for start in self.harness.answer_starts():
                job_id = start.order.task.job_id
                self.wait_s_by_job.setdefault(
                    job_id, passed_s - arrival_s_by_job[job_id]
                )
            self.harness.tick(TICK_S)

    def _decide(self) -> None:
        """Begin the decisions that were requested, and answer those that end now."""
        now = self.harness.now
        requests, self.harness.advice_requests = self.harness.advice_requests, []
        for request in requests:
            ends_at = Instant(now + request.expected_ms / 1_000)
            self._decisions.append(_Decision(request, ends_at))
        self.requests.extend(requests)
        ended = [row for row in self._decisions if row.ends_at <= now]
        self._decisions = [row for row in self._decisions if row.ends_at > now]
        for row in ended:
            self._answer(row.request)

    def _answer(self, request: AskAdvice) -> None:
        tickets = tuple(
            WorkerTicket(worker, "ticket")
            for worker in request.workers
            if _is_allowed(request, worker)
        )
        answer = AdviceAnswer(tickets, 2_000.0)
        self.harness.scheduler.advice_answered(request.step, answer, self.harness.now)


def _is_allowed(request: AskAdvice, worker: WorkerId) -> bool:
    """Return the service's decision, which is the same each time that it is asked."""
    digits = int(request.step.job_id, 16) + request.step.step + int(worker[1:])
    return digits * 2_654_435_761 % 1_000 < ALLOWED_SHARE * 1_000

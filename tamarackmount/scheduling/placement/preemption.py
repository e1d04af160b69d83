"""Stop less urgent runs to free capacity for more urgent steps.

Load pattern: urgent jobs, or gangs that need a whole worker, arrive while longer work
fills the pool or their workspace's ceiling. Runs of queues with lower priority that
save their progress are stopped, the largest first, and continue later, maybe elsewhere.
"""

import logging

from tamarackmount.ids import Instant, WorkspaceId
from tamarackmount.resources import NOTHING, Resources
from tamarackmount.scheduling.domain.fleet_config import Queue
from tamarackmount.scheduling.domain.model import WorkerIncarnation
from tamarackmount.scheduling.jobs.ranking import Tier, tier
from tamarackmount.scheduling.jobs.runs import Run, RunPhase, StepState
from tamarackmount.scheduling.limits.ceilings import ceiling_parts
from tamarackmount.scheduling.placement.worker_choice import eligible_workers
from tamarackmount.scheduling.scheduler_state import SchedulerState
from tamarackmount.scheduling.workers.free_capacity import count_startable_tasks
from tamarackmount.scheduling.workers.workers import WorkerState

_log = logging.getLogger(__name__)

MIN_RUN_TIME_S = 1.0
"""Time after its start, in seconds, in which a run is not preempted: it has saved
little progress by then, and a task that is stopped again and again makes none."""

PREEMPTED_RESTART_DELAY_S = 1.0
"""Time for which a step with a preempted run starts no run, in seconds.

It is the length of an urgent task; a run that started sooner would have to be
preempted for that task again.
"""


class PreemptionRound:
    """One round of preemption, in which the caller passes the most urgent steps first.

    Capacity that is to be freed for one step is not counted for the next.
    """

    def __init__(self, state: SchedulerState, now: Instant) -> None:
        """Begin with the free capacity, and count that of stopping runs as free."""
        self._state = state
        self._now = now
        self._free_by_incarnation: dict[WorkerIncarnation, Resources] = {}
        self._preemptible_by_incarnation: dict[
            WorkerIncarnation, dict[int, list[Run]]
        ] = {}
        self._used_by_workspace: dict[WorkspaceId, Resources] = dict(
            state.used_by_workspace
        )
        for worker in state.workers_by_incarnation.values():
            free = worker.free
            for run in worker.runs_by_task.values():
                if run.phase is RunPhase.STOPPING:
                    free = free + run.amount
                    self._release_ceiling_usage(run)
            self._free_by_incarnation[worker.incarnation] = free

    def preempt_for(self, step: StepState, queue: Queue) -> None:
        """Stop less urgent runs for a step.

        Nothing is stopped for a step that is late, or whose job is over its workspace's
        share.
        """
        is_late = self._now > step.job.latest_start
        if is_late or tier(step, self._now) > Tier.IN_TIME:
            return
        workers = eligible_workers(self._state, step, queue, self._now)
        wanted = self._placeable_count(step, queue, workers, self._runnable_count(step))
        if step.spec.gang and wanted < step.spec.count:
            return
        victims = self._select_for_ceiling(step, queue, wanted)
        victims += self._select_for_capacity(step, queue, workers, wanted, victims)
        for run in victims:
            self._preempt(run)
        if victims:
            extra = {
                "job": step.key.job_id,
                "reason": step.wait_reason.value,
                "stopped": len(victims),
            }
            # The message is kept for operators' tools: capacity is being freed.
            _log.info("room made", extra=extra)

    def _runnable_count(self, step: StepState) -> int:
        """Return how many pending tasks fit at once under the workspace's ceiling."""
        workspace = self._state.workspace_of_job(step.job)
        if workspace is None:
            return len(step.pending)
        parts = ceiling_parts(NOTHING, step.spec.amount, workspace.ceiling)
        fits = min(
            (limit // per_task for _, per_task, limit in parts if limit and per_task),
            default=len(step.pending),
        )
        running = len(step.runs_by_index)
        return max(0, min(len(step.pending), fits - running))

    def _placeable_count(
        self, step: StepState, queue: Queue, workers: list[WorkerState], limit: int
    ) -> int:
        """Return how many tasks fit if every preemptible run were stopped.

        Workers are not looked at any more once ``limit`` tasks fit.
        """
        count = 0
        for worker in workers:
            if count >= limit:
                return limit
            free = self._free_by_incarnation[worker.incarnation]
            for run in self._preemptible_runs(queue, worker):
                free = free + run.amount
            count += count_startable_tasks(step, worker, free, step.spec.count)
        return min(count, limit)

    def _preempt(self, run: Run) -> None:
        self._state.stop_run(run, self._now)
        self._preemptible_by_incarnation.pop(run.incarnation, None)
        step = self._state.step_of(run.task)
        if step is not None:
            step.not_before = Instant(self._now + PREEMPTED_RESTART_DELAY_S)

    def _release_ceiling_usage(self, run: Run) -> None:
        if run.workspace_id is not None:
            used = self._used_by_workspace.get(run.workspace_id, NOTHING)
            self._used_by_workspace[run.workspace_id] = used - run.ceiling_usage

    def _select_for_ceiling(
        self, step: StepState, queue: Queue, wanted: int
    ) -> list[Run]:
        """Return runs to stop so that the step fits under its workspace's ceiling."""
        workspace = self._state.workspace_of_job(step.job)
        if workspace is None:
            return []
        workspace_id = workspace.workspace_id
        amount = step.spec.amount
        victims: list[Run] = []
        for run in self._preemptible_runs_of_workspace(workspace_id, queue):
            used = self._used_by_workspace.get(workspace_id, NOTHING)
            if _is_under_ceiling(used, amount, workspace.ceiling, wanted):
                break
            victims.append(run)
            self._release_ceiling_usage(run)
            self._free_by_incarnation[run.incarnation] = (
                self._free_by_incarnation[run.incarnation] + run.amount
            )
        used = self._used_by_workspace.get(workspace_id, NOTHING)
        self._used_by_workspace[workspace_id] = used + amount * wanted
        return victims

    def _preemptible_runs_of_workspace(
        self, workspace_id: WorkspaceId, queue: Queue
    ) -> list[Run]:
        found = [
            run
            for worker in self._state.workers_by_incarnation.values()
            for run in self._preemptible_runs(queue, worker)
            if run.workspace_id == workspace_id
        ]
        return sorted(found, key=lambda run: -run.ceiling_usage.millicores)

    def _select_for_capacity(
        self,
        step: StepState,
        queue: Queue,
        workers: list[WorkerState],
        wanted: int,
        chosen: list[Run],
    ) -> list[Run]:
        """Return runs to stop so that the step's tasks fit on the workers."""
        victims: list[Run] = []
        free_after_by_incarnation: dict[WorkerIncarnation, Resources] = {}
        for worker in sorted(
            workers, key=lambda worker: -self._count_fitting_on(step, worker, wanted)
        ):
            if wanted <= 0:
                break
            to_stop, free, count = self._select_on_worker(
                step, queue, worker, wanted, chosen
            )
            victims.extend(to_stop)
            free_after_by_incarnation[worker.incarnation] = (
                free - step.reserved_amount * count
            )
            wanted -= count
        if step.spec.gang and wanted > 0:
            return []
        self._free_by_incarnation.update(free_after_by_incarnation)
        return victims

    def _count_fitting_on(
        self, step: StepState, worker: WorkerState, wanted: int
    ) -> int:
        free = self._free_by_incarnation[worker.incarnation]
        return count_startable_tasks(step, worker, free, wanted)

    def _select_on_worker(
        self,
        step: StepState,
        queue: Queue,
        worker: WorkerState,
        wanted: int,
        chosen: list[Run],
    ) -> tuple[list[Run], Resources, int]:
        """Return runs to stop, the free capacity then and how many tasks fit."""
        free = self._free_by_incarnation[worker.incarnation]
        count = count_startable_tasks(step, worker, free, wanted)
        to_stop: list[Run] = []
        needed = 0
        free_after = free
        for run in self._preemptible_runs(queue, worker):
            if count >= wanted:
                break
            if run in chosen:
                continue
            to_stop.append(run)
            free_after = free_after + run.amount
            count_after = count_startable_tasks(step, worker, free_after, wanted)
            if count_after > count:
                count, free, needed = count_after, free_after, len(to_stop)
        return to_stop[:needed], free, count

    def _preemptible_runs(self, queue: Queue, worker: WorkerState) -> list[Run]:
        """Return a worker's less urgent runs that save progress, the largest first.

        They are kept until one of the worker's runs is stopped.
        """
        by_priority = self._preemptible_by_incarnation.setdefault(
            worker.incarnation, {}
        )
        known = by_priority.get(queue.priority)
        if known is None:
            known = self._find_preemptible_runs(queue, worker)
            by_priority[queue.priority] = known
        return known

    def _find_preemptible_runs(self, queue: Queue, worker: WorkerState) -> list[Run]:
        found = []
        for run in worker.runs_by_task.values():
            step = self._state.step_of(run.task)
            if step is None or run.phase is not RunPhase.RUNNING:
                continue
            if step.job.priority <= queue.priority:
                continue
            if self._now < run.began_at + MIN_RUN_TIME_S:
                continue
            if step.spec.is_preemptible:
                found.append(run)
        return sorted(found, key=lambda run: -run.amount.millicores)


def _is_under_ceiling(
    used: Resources, amount: Resources, ceiling: Resources, count: int
) -> bool:
    parts = ceiling_parts(used, amount, ceiling)
    return all(
        not limit or in_use + per_task * count <= limit
        for in_use, per_task, limit in parts
    )

"""Making room for what is more urgent.

Load pattern: urgent jobs, or gangs that need a whole worker, come to a pool, or to a
team's ceiling, that longer work fills. Runs of less urgent queues that keep their
progress are stopped, the largest first, and go on elsewhere later.
"""

import logging

from tamarackmount.ids import Instant, TeamId
from tamarackmount.resources import NOTHING, Resources
from tamarackmount.scheduling.fleet_config import Queue
from tamarackmount.scheduling.model import WorkerIncarnation
from tamarackmount.scheduling.placement import candidates, ceiling_parts
from tamarackmount.scheduling.ranking import Tier, tier
from tamarackmount.scheduling.runs import Run, RunPhase, StepState
from tamarackmount.scheduling.scheduler_state import SchedulerState
from tamarackmount.scheduling.workers import WorkerState

_log = logging.getLogger(__name__)

MIN_RUN_S = 1.0
"""A run is left alone for this long after its start, in seconds: it has saved little
before, and a task that is stopped again and again gets nowhere."""

PREEMPTED_RESTART_DELAY_S = 1.0
"""A step whose runs were stopped starts none for this long, in seconds: the length of
an urgent task, which it would only have to make room for again."""


class PreemptionRound:
    """One round: steps take room that comes free, the most urgent ones first.

    Room that is on its way to one step is not counted for the next.
    """

    def __init__(self, state: SchedulerState, now: Instant) -> None:
        """Begin with the room that is free, or will be when stops are done."""
        self._state = state
        self._now = now
        self._free_by_incarnation: dict[WorkerIncarnation, Resources] = {}
        self._used_by_team: dict[TeamId, Resources] = dict(state.used_by_team)
        for worker in state.workers_by_incarnation.values():
            free = worker.free
            for run in worker.runs_by_task.values():
                if run.phase is RunPhase.STOPPING:
                    free = free + run.amount
                    self._release(run)
            self._free_by_incarnation[worker.incarnation] = free

    def preempt_for(self, step: StepState, queue: Queue) -> None:
        """Stop less urgent runs for a step, as far as it can still be in time."""
        is_late = self._now > step.job.latest_start
        if is_late or tier(step, self._now) > Tier.IN_TIME:
            return
        workers = candidates(self._state, step, queue, self._now)
        wanted = min(self._useful(step), self._hosted(step, queue, workers))
        if step.spec.gang and wanted < step.spec.count:
            return
        victims = self._for_ceiling(step, queue, wanted)
        victims += self._for_room(step, queue, workers, wanted, victims)
        for run in victims:
            self._stop(run)
        if victims:
            extra = {
                "job": step.key.job_id,
                "reason": step.wait_reason.value,
                "stopped": len(victims),
            }
            _log.info("room made", extra=extra)

    def _useful(self, step: StepState) -> int:
        """Return how many waiting tasks could run at once under the team's ceiling."""
        team = self._state.team(step.job)
        if team is None:
            return len(step.pending)
        parts = ceiling_parts(NOTHING, step.spec.amount, team.ceiling)
        fits = min(
            (most // one for _, one, most in parts if most and one),
            default=len(step.pending),
        )
        running = len(step.runs_by_index)
        return max(0, min(len(step.pending), fits - running))

    def _hosted(self, step: StepState, queue: Queue, workers: list[WorkerState]) -> int:
        """Return how many tasks allowed workers could take, if all there made room."""
        count = 0
        for worker in workers:
            free = self._free_by_incarnation[worker.incarnation]
            for run in self._stoppable(queue, worker):
                free = free + run.amount
            count += _fits(step.reserved_amount, free, step.spec.count, step)
        return count

    def _stop(self, run: Run) -> None:
        self._state.stop_run(run, self._now)
        step = self._state.step_of(run.task)
        if step is not None:
            step.not_before = Instant(self._now + PREEMPTED_RESTART_DELAY_S)

    def _release(self, run: Run) -> None:
        team = self._state.team_of(run)
        if team is not None:
            used = self._used_by_team.get(team, NOTHING)
            self._used_by_team[team] = used - run.ceiling_usage

    def _for_ceiling(self, step: StepState, queue: Queue, wanted: int) -> list[Run]:
        """Return runs of the step's own team whose part of its ceiling it needs."""
        team = self._state.team(step.job)
        if team is None:
            return []
        team_id = team.team_id
        amount = step.spec.amount
        victims: list[Run] = []
        for run in self._stoppable_of(team_id, queue):
            used = self._used_by_team.get(team_id, NOTHING)
            if _under_ceiling(used, amount, team.ceiling, wanted):
                break
            victims.append(run)
            self._release(run)
            self._free_by_incarnation[run.incarnation] = (
                self._free_by_incarnation[run.incarnation] + run.amount
            )
        used = self._used_by_team.get(team_id, NOTHING)
        self._used_by_team[team_id] = used + amount * wanted
        return victims

    def _stoppable_of(self, team_id: TeamId, queue: Queue) -> list[Run]:
        found = [
            run
            for worker in self._state.workers_by_incarnation.values()
            for run in self._stoppable(queue, worker)
            if self._state.team_of(run) == team_id
        ]
        return sorted(found, key=lambda run: -run.ceiling_usage.millicores)

    def _for_room(
        self,
        step: StepState,
        queue: Queue,
        workers: list[WorkerState],
        wanted: int,
        chosen: list[Run],
    ) -> list[Run]:
        """Return runs whose room, on allowed workers, the step's tasks need."""
        victims: list[Run] = []
        taken: dict[WorkerIncarnation, Resources] = {}
        for worker in sorted(workers, key=lambda row: -self._fits(step, row, wanted)):
            if wanted <= 0:
                break
            stops, free, count = self._on_worker(step, queue, worker, wanted, chosen)
            victims.extend(stops)
            taken[worker.incarnation] = free - step.reserved_amount * count
            wanted -= count
        if step.spec.gang and wanted > 0:
            return []
        self._free_by_incarnation.update(taken)
        return victims

    def _fits(self, step: StepState, worker: WorkerState, wanted: int) -> int:
        free = self._free_by_incarnation[worker.incarnation]
        return _fits(step.reserved_amount, free, wanted, step)

    def _on_worker(
        self,
        step: StepState,
        queue: Queue,
        worker: WorkerState,
        wanted: int,
        chosen: list[Run],
    ) -> tuple[list[Run], Resources, int]:
        """Return runs to stop on a worker, its room then and the tasks it takes."""
        amount = step.reserved_amount
        free = self._free_by_incarnation[worker.incarnation]
        count = _fits(amount, free, wanted, step)
        stops: list[Run] = []
        useful = 0
        free_then = free
        for run in self._stoppable(queue, worker):
            if count >= wanted:
                break
            if run in chosen:
                continue
            stops.append(run)
            free_then = free_then + run.amount
            more = _fits(amount, free_then, wanted, step)
            if more > count:
                count, free, useful = more, free_then, len(stops)
        return stops[:useful], free, count

    def _stoppable(self, queue: Queue, worker: WorkerState) -> list[Run]:
        """Return less urgent runs that keep their progress, the largest first."""
        found = []
        for run in worker.runs_by_task.values():
            step = self._state.step_of(run.task)
            if step is None or run.phase is not RunPhase.RUNNING:
                continue
            if step.job.priority <= queue.priority:
                continue
            if self._now < run.began_at + MIN_RUN_S:
                continue
            spec = step.spec
            if spec.saves_progress and not (spec.gang or spec.perpetual or spec.fills):
                found.append(run)
        return sorted(found, key=lambda run: -run.amount.millicores)


def _fits(amount: Resources, free: Resources, wanted: int, step: StepState) -> int:
    """Return how many tasks fit, up to the number wanted and the step's bound."""
    parts = (
        (amount.millicores, free.millicores),
        (amount.memory_mib, free.memory_mib),
        (amount.accelerators, free.accelerators),
    )
    fits = min((has // one for one, has in parts if one), default=wanted)
    bound = step.spec.max_per_worker or wanted
    return max(0, min(wanted, bound, fits))


def _under_ceiling(
    used: Resources, amount: Resources, ceiling: Resources, count: int
) -> bool:
    parts = ceiling_parts(used, amount, ceiling)
    return all(not most or has + one * count <= most for has, one, most in parts)

"""Places waiting tasks, urgent ones first, in the configured job order."""

import heapq
from collections.abc import Iterable
from dataclasses import dataclass, field
from itertools import islice

from tamarackmount.ids import Instant, WorkspaceId
from tamarackmount.kernel.jobs import Attempt, Job
from tamarackmount.kernel.policies import Policies
from tamarackmount.kernel.preemption import Preemption
from tamarackmount.kernel.reservations import Reservations
from tamarackmount.kernel.scheduler_state import SchedulerState
from tamarackmount.kernel.task_attempts import TaskAttempts
from tamarackmount.kernel.task_ends import TaskEnds
from tamarackmount.plugins.job_order import Rank, TeamJobUsage
from tamarackmount.plugins.placement import PlacementChoice, PlacementRequest
from tamarackmount.resources import Resources

MAX_PLACEMENTS_PER_PASS = 500
"""Maximum number of tasks or gangs placed in one pass; others wait for the next."""

MAX_JOBS_TRIED = 64
"""Maximum number of a team's jobs tried to find one that can be placed."""

GANG_RETRY_S = 0.25
"""Delay before a gang that did not fit is tried again, in seconds."""

FULL_PASS_INTERVAL_S = 1.0
"""Maximum time between two full passes while any task waits, in seconds.

A pass that is due by this time also retries the sizes remembered as unplaceable.
"""

NO_CAPACITY = "no worker has capacity now"
NO_GANG_CAPACITY = "the workers do not have capacity for the whole gang now"
PREEMPTING = "lower-priority work is being preempted"


@dataclass(order=True, slots=True)
class _RankedTeam:
    rank: Rank
    team_id: WorkspaceId


@dataclass(slots=True)
class _PlacementPass:
    """One pass over the teams with waiting tasks.

    ``unplaced_jobs`` are the jobs that did not fit.
    """

    now: Instant
    placements_left: int = MAX_PLACEMENTS_PER_PASS
    unplaced_jobs: dict[str, Job] = field(default_factory=dict)


class TaskPlacer:
    """Decides which task starts next and on which worker."""

    def __init__(
        self,
        state: SchedulerState,
        attempts: TaskAttempts,
        ends: TaskEnds,
        policies: Policies,
    ) -> None:
        """Create a placer for a scheduler state."""
        self._state = state
        self._attempts = attempts
        self._policies = policies
        self._preemption = Preemption(state, attempts, ends)
        self.reservations = Reservations(state, ends)
        self._next_pass_at = Instant(float("-inf"))
        self._reserved_capacity_freed = False
        self._unplaceable_amounts: set[Resources] = set()

    def order_of(self, job: Job) -> tuple[float, ...]:
        """Return the sort key of a job among its team's jobs."""
        rank = self._policies.job_order.job_rank(job.accepted_number)
        return (*rank, job.accepted_number)

    def run(self, now: Instant) -> None:
        """Place waiting tasks if any may have become placeable or a pass is overdue."""
        state = self._state
        if state.superseded:
            return
        self._preemption.start_ready(now)
        is_full_pass = self.reservations.update(now) or now >= self._next_pass_at
        if not state.place_needed and not is_full_pass:
            return
        state.place_needed = False
        self._take_freed_capacity()
        if is_full_pass:
            self._unplaceable_amounts.clear()
        pass_ = _PlacementPass(now)
        self._place_teams(pass_, state.queue.teams(True), urgent=True)
        if is_full_pass or self._reserved_capacity_freed or not self._nothing_fits():
            self._next_pass_at = Instant(now + FULL_PASS_INTERVAL_S)
            self._reserved_capacity_freed = False
            self._place_teams(pass_, state.queue.teams(False), urgent=False)
        self._end_pass(pass_)

    def run_for(self, jobs: Iterable[Job], now: Instant) -> None:
        """Place tasks of newly accepted jobs without waiting for the next pass.

        While a pass is due, only urgent jobs are placed: free capacity may be due to
        a team that precedes theirs.
        """
        state = self._state
        jobs = [job for job in jobs if state.queue.contains(job)]
        if state.superseded or not jobs:
            return
        self._take_freed_capacity()
        pass_ = _PlacementPass(now)
        for urgent in (True, False):
            teams = {job.team_id: None for job in jobs if job.urgent is urgent}
            if urgent or not state.place_needed:
                self._place_teams(pass_, list(teams), urgent)
        self._end_pass(pass_)

    def _take_freed_capacity(self) -> None:
        """Reconsider sizes that fit on workers with newly freed capacity."""
        freed = self._state.ledger.take_workers_with_freed_capacity()
        workers = [worker for worker in freed if worker.is_placeable]
        if self._unplaceable_amounts and workers:
            self._unplaceable_amounts = {
                amount
                for amount in self._unplaceable_amounts
                if not any(amount.fits_in(worker.free) for worker in workers)
            }
        if any(worker.reserved_for is not None for worker in freed):
            self._reserved_capacity_freed = True

    def _nothing_fits(self) -> bool:
        return self._unplaceable_amounts.issuperset(
            self._state.queue.job_count_by_amount
        )

    def _end_pass(self, pass_: _PlacementPass) -> None:
        jobs = list(pass_.unplaced_jobs.values())
        self.reservations.reserve_oldest(jobs, pass_.now)
        if pass_.placements_left == 0:
            self._state.place_needed = True

    def _place_teams(
        self, pass_: _PlacementPass, teams: list[WorkspaceId], urgent: bool
    ) -> None:
        ranked_teams = [self._rank_team(team_id, urgent) for team_id in teams]
        heapq.heapify(ranked_teams)
        while ranked_teams and pass_.placements_left > 0:
            team_id = heapq.heappop(ranked_teams).team_id
            if not self._place_next(pass_, team_id, urgent):
                continue
            pass_.placements_left -= 1
            if next(self._state.queue.jobs(team_id, urgent), None) is not None:
                heapq.heappush(ranked_teams, self._rank_team(team_id, urgent))

    def _rank_team(self, team_id: WorkspaceId, urgent: bool) -> _RankedTeam:
        state = self._state
        oldest = next(state.queue.jobs(team_id, urgent))
        share = state.accounts.weighted_share(team_id, state.ledger.total)
        usage = TeamJobUsage(share, oldest.accepted_number)
        return _RankedTeam(self._policies.job_order.team_rank(usage), team_id)

    def _place_next(
        self, pass_: _PlacementPass, team_id: WorkspaceId, urgent: bool
    ) -> bool:
        jobs = islice(self._state.queue.jobs(team_id, urgent), MAX_JOBS_TRIED)
        return any(self._place_job(pass_, job) for job in jobs)

    def _place_job(self, pass_: _PlacementPass, job: Job) -> bool:
        count = job.spec.tasks if job.is_gang else 1
        refusal = self._state.accounts.refusal(
            job.team_id, job.amount, count, pass_.now
        )
        if refusal:
            job.why_waiting = refusal
            return False
        if job.is_gang:
            return self._place_gang(pass_, job)
        return self._place_task(pass_, job)

    def _place_task(self, pass_: _PlacementPass, job: Job) -> bool:
        choice = self._choose_worker(job)
        if choice is not None:
            index = job.waiting.lowest()
            self._attempts.begin(job, index, choice.worker_id, choice.why, pass_.now)
            return True
        if self._backfill(pass_, job):
            return True
        if job.urgent and self._preemption.preempt_for(job, pass_.now):
            job.why_waiting = PREEMPTING
            return True
        self._record_unplaced(pass_, job)
        return False

    def _choose_worker(self, job: Job) -> PlacementChoice | None:
        reservation = self.reservations.current
        if reservation is None or reservation.job is not job:
            return self._choose(job, job.waiting.lowest())
        self.reservations.set_enforced(enforced=False)
        self._take_freed_capacity()
        choice = self._choose(job, job.waiting.lowest())
        if choice is None:
            self.reservations.set_enforced(enforced=True)
        else:
            self.reservations.end()
        return choice

    def _choose(self, job: Job, index: int) -> PlacementChoice | None:
        if job.amount in self._unplaceable_amounts:
            return None
        avoid = frozenset(job.bad_workers_by_index.get(index, ()))
        request = PlacementRequest(job.amount, avoid, job.tasks_by_rack)
        policy = self._policies.placement_by_kind[job.spec.kind]
        choice = policy.choose(self._state.ledger, request)
        if choice is None:
            self._unplaceable_amounts.add(job.amount)
        return choice

    def _backfill(self, pass_: _PlacementPass, job: Job) -> bool:
        worker_id = self.reservations.select_backfill_worker(job, pass_.now)
        if worker_id is None:
            return False
        why = "fits; ends before the worker is needed for a reservation"
        attempt = self._attempts.begin(
            job, job.waiting.lowest(), worker_id, why, pass_.now
        )
        self.reservations.add_backfill(attempt)
        return True

    def _place_gang(self, pass_: _PlacementPass, job: Job) -> bool:
        reservation = self.reservations.current
        has_reservation = reservation is not None and reservation.job is job
        if pass_.now < job.next_try_at and not has_reservation:
            self._next_pass_at = min(self._next_pass_at, job.next_try_at)
            return False
        if has_reservation:
            self.reservations.set_enforced(enforced=False)
            self._take_freed_capacity()
        choices = self._choose_gang_workers(job)
        if not choices:
            if has_reservation:
                self.reservations.set_enforced(enforced=True)
            job.next_try_at = Instant(pass_.now + GANG_RETRY_S)
            self._record_unplaced(pass_, job)
            return False
        for index, choice in enumerate(choices):
            self._attempts.begin(job, index, choice.worker_id, choice.why, pass_.now)
        if has_reservation:
            self.reservations.end()
        return True

    def _choose_gang_workers(self, job: Job) -> list[PlacementChoice]:
        """Return a worker for each task of a gang, or an empty list if not all fit.

        Each choice is committed while the next one is made, then all are released.
        """
        ledger = self._state.ledger
        choices = []
        for index in range(job.spec.tasks):
            choice = self._choose(job, index)
            if choice is None:
                break
            choices.append(choice)
            ledger.commit(choice.worker_id, job.amount, False)
        for choice in choices:
            ledger.release(choice.worker_id, job.amount, False)
        if choices:
            self._unplaceable_amounts.discard(job.amount)
        return choices if len(choices) == job.spec.tasks else []

    def _record_unplaced(self, pass_: _PlacementPass, job: Job) -> None:
        job.why_waiting = NO_GANG_CAPACITY if job.is_gang else NO_CAPACITY
        pass_.unplaced_jobs[job.id] = job


def is_current(attempt: Attempt) -> bool:
    """Return whether the attempt is the current one of its task."""
    return attempt.job.attempts_by_index.get(attempt.index) is attempt

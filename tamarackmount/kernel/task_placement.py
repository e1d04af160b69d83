"""Places waiting tasks: urgent ones first, then by the teams' shares."""

import heapq
from collections.abc import Iterable
from dataclasses import dataclass, field
from itertools import islice

from tamarackmount.ids import Instant, TeamId
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
"""Tasks placed in one pass; the rest follows in the next one."""

MAX_JOBS_TRIED = 64
"""Jobs of one team that are looked at for one task to place."""

GANG_RETRY_S = 0.25
"""Wait before a gang without room is tried again, in seconds."""

IDLE_PASS_S = 1.0
"""Longest time between two passes while anything waits, in seconds."""

WAITS_FOR_ROOM = "no worker has room now"
WAITS_FOR_GANG_ROOM = "there is no room for the whole gang now"
WAITS_FOR_VICTIMS = "normal work is being ended to make room"


@dataclass(order=True, slots=True)
class _Turn:
    rank: Rank
    team_id: TeamId


@dataclass(slots=True)
class _Pass:
    """One walk over the teams."""

    now: Instant
    left: int = MAX_PLACEMENTS_PER_PASS
    without_room: dict[str, Job] = field(default_factory=dict)


class TaskPlacer:
    """Decides which task starts next and where."""

    def __init__(
        self,
        state: SchedulerState,
        attempts: TaskAttempts,
        ends: TaskEnds,
        policies: Policies,
    ) -> None:
        """Work on ``state``."""
        self._state = state
        self._attempts = attempts
        self._policies = policies
        self._preemption = Preemption(state, attempts, ends)
        self.reservations = Reservations(state, ends)
        self._next_pass_at = Instant(float("-inf"))
        self._kept_grew = False
        self._full: set[Resources] = set()

    def order_of(self, job: Job) -> tuple[float, ...]:
        """Return the job's place among its team's jobs."""
        rank = self._policies.job_order.job_rank(job.accepted_number)
        return (*rank, job.accepted_number)

    def run(self, now: Instant) -> None:
        """Place all that can be placed, if anything may have become placeable."""
        state = self._state
        if state.superseded:
            return
        self._preemption.resolve(now)
        is_overdue = self.reservations.keep_up(now) or now >= self._next_pass_at
        if not state.place_needed and not is_overdue:
            return
        state.place_needed = False
        self._note_grown()
        if is_overdue:
            self._full.clear()
        walk = _Pass(now)
        self._walk(walk, state.queue.teams(True), urgent=True)
        if is_overdue or self._kept_grew or not self._nothing_fits():
            self._next_pass_at = Instant(now + IDLE_PASS_S)
            self._kept_grew = False
            self._walk(walk, state.queue.teams(False), urgent=False)
        self._end_walk(walk)

    def run_for(self, jobs: Iterable[Job], now: Instant) -> None:
        """Place tasks of newly accepted jobs without waiting for the next pass.

        While a pass is due, room may belong to a team that comes before theirs.
        """
        state = self._state
        jobs = [job for job in jobs if state.queue.contains(job)]
        if state.superseded or not jobs:
            return
        self._note_grown()
        walk = _Pass(now)
        for urgent in (True, False):
            teams = {job.team_id: None for job in jobs if job.urgent is urgent}
            if urgent or not state.place_needed:
                self._walk(walk, list(teams), urgent)
        self._end_walk(walk)

    def _note_grown(self) -> None:
        """Forget that sizes have no room which fit on a worker that grew."""
        grown = self._state.ledger.take_workers_with_freed_capacity()
        rooms = [room for room in grown if room.placeable]
        if self._full and rooms:
            self._full = {
                amount
                for amount in self._full
                if not any(amount.fits_in(room.free) for room in rooms)
            }
        if any(room.reserved_for is not None for room in grown):
            self._kept_grew = True

    def _nothing_fits(self) -> bool:
        return self._full.issuperset(self._state.queue.jobs_by_amount)

    def _end_walk(self, walk: _Pass) -> None:
        jobs = list(walk.without_room.values())
        self.reservations.reserve_oldest(jobs, walk.now)
        if walk.left == 0:
            self._state.place_needed = True

    def _walk(self, walk: _Pass, teams: list[TeamId], urgent: bool) -> None:
        turns = [self._turn(team_id, urgent) for team_id in teams]
        heapq.heapify(turns)
        while turns and walk.left > 0:
            team_id = heapq.heappop(turns).team_id
            if not self._place_next(walk, team_id, urgent):
                continue
            walk.left -= 1
            if next(self._state.queue.jobs(team_id, urgent), None) is not None:
                heapq.heappush(turns, self._turn(team_id, urgent))

    def _turn(self, team_id: TeamId, urgent: bool) -> _Turn:
        state = self._state
        oldest = next(state.queue.jobs(team_id, urgent))
        share = state.accounts.weighted_share(team_id, state.ledger.total)
        standing = TeamJobUsage(share, oldest.accepted_number)
        return _Turn(self._policies.job_order.team_rank(standing), team_id)

    def _place_next(self, walk: _Pass, team_id: TeamId, urgent: bool) -> bool:
        jobs = islice(self._state.queue.jobs(team_id, urgent), MAX_JOBS_TRIED)
        return any(self._place_from(walk, job) for job in jobs)

    def _place_from(self, walk: _Pass, job: Job) -> bool:
        count = job.spec.tasks if job.is_gang else 1
        refusal = self._state.accounts.refusal(job.team_id, job.amount, count, walk.now)
        if refusal:
            job.why_waiting = refusal
            return False
        if job.is_gang:
            return self._place_gang(walk, job)
        return self._place_task(walk, job)

    def _place_task(self, walk: _Pass, job: Job) -> bool:
        choice = self._choose_for(job)
        if choice is not None:
            index = job.waiting.lowest()
            self._attempts.begin(job, index, choice.worker_id, choice.why, walk.now)
            return True
        if self._backfill(walk, job):
            return True
        if job.urgent and self._preemption.make_room(job, walk.now):
            job.why_waiting = WAITS_FOR_VICTIMS
            return True
        self._note_no_room(walk, job)
        return False

    def _choose_for(self, job: Job) -> PlacementChoice | None:
        reservation = self.reservations.current
        if reservation is None or reservation.job is not job:
            return self._choose(job, job.waiting.lowest())
        self.reservations.open_for_holder(kept=False)
        self._note_grown()
        choice = self._choose(job, job.waiting.lowest())
        if choice is None:
            self.reservations.open_for_holder(kept=True)
        else:
            self.reservations.give_back()
        return choice

    def _choose(self, job: Job, index: int) -> PlacementChoice | None:
        if job.amount in self._full:
            return None
        avoid = frozenset(job.bad_workers_by_index.get(index, ()))
        request = PlacementRequest(job.amount, avoid, job.tasks_by_rack)
        policy = self._policies.placement_by_kind[job.spec.kind]
        choice = policy.choose(self._state.ledger, request)
        if choice is None:
            self._full.add(job.amount)
        return choice

    def _backfill(self, walk: _Pass, job: Job) -> bool:
        worker_id = self.reservations.backfill_worker(job, walk.now)
        if worker_id is None:
            return False
        why = "fits in before the worker is needed for a reservation"
        attempt = self._attempts.begin(
            job, job.waiting.lowest(), worker_id, why, walk.now
        )
        self.reservations.note_backfill(attempt)
        return True

    def _place_gang(self, walk: _Pass, job: Job) -> bool:
        holds = self.reservations.current
        is_holder = holds is not None and holds.job is job
        if walk.now < job.next_try_at and not is_holder:
            self._next_pass_at = min(self._next_pass_at, job.next_try_at)
            return False
        if is_holder:
            self.reservations.open_for_holder(kept=False)
            self._note_grown()
        choices = self._choose_for_gang(job)
        if not choices:
            if is_holder:
                self.reservations.open_for_holder(kept=True)
            job.next_try_at = Instant(walk.now + GANG_RETRY_S)
            self._note_no_room(walk, job)
            return False
        for index, choice in enumerate(choices):
            self._attempts.begin(job, index, choice.worker_id, choice.why, walk.now)
        if is_holder:
            self.reservations.give_back()
        return True

    def _choose_for_gang(self, job: Job) -> list[PlacementChoice]:
        """Return a worker for every task, or nothing if not all fit."""
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
            self._full.discard(job.amount)
        return choices if len(choices) == job.spec.tasks else []

    def _note_no_room(self, walk: _Pass, job: Job) -> None:
        job.why_waiting = WAITS_FOR_GANG_ROOM if job.is_gang else WAITS_FOR_ROOM
        walk.without_room[job.id] = job


def is_current(attempt: Attempt) -> bool:
    """Tell whether the attempt is still the one of its task."""
    return attempt.job.attempts_by_index.get(attempt.index) is attempt

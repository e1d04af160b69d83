"""Answers callers' calls about jobs."""

from collections.abc import Callable

from returns.result import Failure

from tamarackmount.ids import Instant, JobId, MemberId
from tamarackmount.job_spec import JobSpec, describe_errors, parse_job_spec
from tamarackmount.kernel.feasibility import check
from tamarackmount.kernel.job_effects import AnswerJob
from tamarackmount.kernel.job_views import (
    error_text,
    explanation_text,
    job_text,
    jobs_text,
)
from tamarackmount.kernel.jobs import Job
from tamarackmount.kernel.messages import JobAction, JobAnswer, JobCall
from tamarackmount.kernel.scheduler_state import SchedulerState
from tamarackmount.kernel.task_ends import TaskEnds
from tamarackmount.kernel.task_placement import TaskPlacer

OK = 200
CREATED = 201
ACCEPTED = 202
BAD_REQUEST = 400
NOT_FOUND = 404
CONFLICT = 409
UNAVAILABLE = 503

RETRY_AFTER_MS = 1_000
"""Time after which a caller may retry a call refused with 503, in milliseconds."""

MAX_DROPPED_REMEMBERED = 10_000
"""Refused jobs whose last record version is kept.

A job submitted again under the same id continues from that version, so that its
records replace the refused one wherever it was stored.
"""


class JobCalls:
    """Submits, lists, shows, explains and cancels jobs."""

    def __init__(
        self, state: SchedulerState, ends: TaskEnds, placer: TaskPlacer
    ) -> None:
        """Work on ``state``."""
        self._state = state
        self._ends = ends
        self._placer = placer
        self._pending_answers_by_job: dict[JobId, list[AnswerJob]] = {}
        self._dropped_versions_by_job: dict[JobId, int] = {}
        self._actions: dict[JobAction, Callable[[MemberId, JobCall, Instant], None]] = {
            JobAction.SUBMIT: self._submit,
            JobAction.LIST: self._list,
            JobAction.VIEW: self._view,
            JobAction.EXPLAIN: self._explain,
            JobAction.CANCEL: self._cancel,
        }

    def handle(self, origin: MemberId, call: JobCall, now: Instant) -> None:
        """Carry out a call, or refuse it if a later owner took over."""
        if self._state.superseded:
            self._refuse(
                origin,
                call,
                UNAVAILABLE,
                "no_owner",
                "a later owner has taken over the data centre; retry the call",
            )
            return
        self._actions[call.action](origin, call, now)

    def record_saved(self, job: Job, now: Instant) -> None:
        """Accept a submitted job once its record is stored and answer its callers."""
        if job.accepted:
            return
        job.accepted = True
        job.waiting_since = now
        check(self._state, job, now)
        self._state.queue.refresh(job)
        status = CREATED
        for pending in self._pending_answers_by_job.pop(job.id, []):
            call_id = pending.answer.call_id
            self._answer(pending.origin, call_id, status, job_text(job))
            status = OK

    def record_refused(self, job: Job) -> None:
        """Refuse a submitted job whose record could not be stored; it never started."""
        if job.accepted:
            return
        self._state.table.remove(job)
        self._state.saves.mark_dropped(job)
        self._remember_dropped(job)
        body = error_text(
            "not_durable",
            "neither another member nor the log can store the job",
            RETRY_AFTER_MS,
        )
        for pending in self._pending_answers_by_job.pop(job.id, []):
            answer = JobAnswer(
                pending.answer.call_id, UNAVAILABLE, body, RETRY_AFTER_MS
            )
            self._state.emit(AnswerJob(pending.origin, answer))

    def _remember_dropped(self, job: Job) -> None:
        versions = self._dropped_versions_by_job
        versions[job.id] = job.version
        if len(versions) > MAX_DROPPED_REMEMBERED:
            del versions[next(iter(versions))]

    def _submit(self, origin: MemberId, call: JobCall, now: Instant) -> None:
        result = parse_job_spec(call.spec)
        if isinstance(result, Failure):
            message = describe_errors(result.failure())
            self._refuse(origin, call, BAD_REQUEST, "bad_request", message)
            return
        spec = result.unwrap()
        if spec.data_centre not in ("", self._state.data_centre):
            message = "data_centre: the job names another data centre than this one"
            self._refuse(origin, call, BAD_REQUEST, "bad_request", message)
            return
        job_id = self._state.table.job_id(call.team_id, spec.id)
        existing = self._state.table.jobs_by_id.get(job_id)
        if existing is None:
            self._create(origin, call, spec)
        elif existing.spec != spec:
            message = "the team has a job of this id with another specification"
            self._refuse(origin, call, CONFLICT, "conflict", message)
        elif existing.accepted:
            self._answer(origin, call.call_id, OK, job_text(existing))
        else:
            self._await_save(origin, call, existing)

    def _create(self, origin: MemberId, call: JobCall, spec: JobSpec) -> None:
        state = self._state
        job = Job(state.table.job_id(call.team_id, spec.id), call.team_id, spec)
        job.accepted_number = state.table.allocate_number()
        job.order = self._placer.order_of(job)
        job.version = self._dropped_versions_by_job.pop(job.id, 0)
        state.table.add(job)
        state.saves.mark_urgent(job)
        self._await_save(origin, call, job)

    def _await_save(self, origin: MemberId, call: JobCall, job: Job) -> None:
        pending = AnswerJob(origin, JobAnswer(call.call_id, CREATED, ""))
        self._pending_answers_by_job.setdefault(job.id, []).append(pending)

    def _list(self, origin: MemberId, call: JobCall, now: Instant) -> None:
        jobs = list(self._state.table.of_team(call.team_id))
        self._answer(origin, call.call_id, OK, jobs_text(jobs))

    def _view(self, origin: MemberId, call: JobCall, now: Instant) -> None:
        job = self._find(origin, call)
        if job is not None:
            self._answer(origin, call.call_id, OK, job_text(job))

    def _explain(self, origin: MemberId, call: JobCall, now: Instant) -> None:
        job = self._find(origin, call)
        if job is not None:
            self._answer(origin, call.call_id, OK, explanation_text(job))

    def _cancel(self, origin: MemberId, call: JobCall, now: Instant) -> None:
        job = self._find(origin, call)
        if job is None:
            return
        if not job.is_over() and not job.cancelled:
            self._ends.cancel(job, now)
            self._state.saves.mark_urgent(job)
        self._answer(origin, call.call_id, ACCEPTED, job_text(job))

    def _find(self, origin: MemberId, call: JobCall) -> Job | None:
        job = self._state.table.find(call.team_id, call.job_id)
        if job is None:
            message = f"the team has no job {call.job_id}"
            self._refuse(origin, call, NOT_FOUND, "unknown_job", message)
        return job

    def _refuse(
        self, origin: MemberId, call: JobCall, status: int, error: str, message: str
    ) -> None:
        retry_after_ms = RETRY_AFTER_MS if status == UNAVAILABLE else 0
        body = error_text(error, message, retry_after_ms)
        answer = JobAnswer(call.call_id, status, body, retry_after_ms)
        self._state.emit(AnswerJob(origin, answer))

    def _answer(self, origin: MemberId, call_id: int, status: int, body: str) -> None:
        self._state.emit(AnswerJob(origin, JobAnswer(call_id, status, body)))

"""Admission of submitted jobs, and what is kept between submissions."""

import logging

from tamarackmount.ids import Instant, JobId
from tamarackmount.scheduling.admission.admission import Refusal, admit
from tamarackmount.scheduling.admission.drain_forecast import DrainForecast
from tamarackmount.scheduling.jobs.runs import JobState
from tamarackmount.scheduling.scheduler_state import SchedulerState

_log = logging.getLogger(__name__)

MAX_FORECAST_WAITS = 2_000
"""Limit of forecast waits of accepted jobs that are not stored yet: some seconds' worth
of submissions."""


class AdmissionControl:
    """Checks submitted jobs, counts refusals and keeps the forecasts of the others."""

    def __init__(self, state: SchedulerState) -> None:
        """Check jobs against the given state."""
        self._state = state
        self.forecast = DrainForecast(state)
        self._forecast_wait_s_by_job: dict[JobId, float] = {}

    def check(self, job: JobState, now: Instant) -> Refusal | None:
        """Return why a job submitted now is not accepted, or None if it is."""
        refusal = admit(self._state, self.forecast, job, now)
        if refusal is not None:
            self._report(job, refusal)
        elif job.forecast_wait_s is not None:
            self._remember_forecast(job.job_id, job.forecast_wait_s)
        return refusal

    def take_forecast_wait_s(self, job_id: JobId) -> float | None:
        """Return the wait that was forecast for a job that is stored now, if known."""
        return self._forecast_wait_s_by_job.pop(job_id, None)

    def _report(self, job: JobState, refusal: Refusal) -> None:
        accepted = job.accepted
        self._state.refused_by_pool[accepted.service, accepted.workspace_id] += 1
        extra = {
            "job": accepted.job_id,
            "team": accepted.workspace_id,
            "queue": accepted.queue_name,
            "reason": refusal.reason.value,
            "retry_after_s": round(refusal.retry_after_s, 1),
        }
        _log.info("job refused", extra=extra)

    def _remember_forecast(self, job_id: JobId, wait_s: float) -> None:
        if len(self._forecast_wait_s_by_job) >= MAX_FORECAST_WAITS:
            self._forecast_wait_s_by_job.clear()
        self._forecast_wait_s_by_job[job_id] = wait_s

"""Keep the time that steps spend in each wait reason, and log it seldom.

Load pattern: hundreds of steps wait, and alternate between reasons at each tick. A
step's reason changes at once, as other decisions read it, but a line is written only
when the reason is stable, when the step starts, or when its job ends.
"""

import logging
from math import inf

from tamarackmount.ids import Instant
from tamarackmount.scheduling.jobs.runs import JobState, StepState, WaitReason

STABLE_REASON_S = 0.5
"""Time, in seconds, for which a reason must be the same to be logged: about the slack
of an urgent job."""

_log = logging.getLogger(__name__)


def update_wait_reason(step: StepState, reason: WaitReason, now: Instant) -> None:
    """Record why a step can't start now.

    With ``NONE`` and tasks that are pending, earlier runs of these are being stopped.
    """
    waits = step.waits
    if reason is step.wait_reason:
        has_started = reason is WaitReason.NONE and not step.pending
        if now >= waits.log_due_at or (has_started and waits.seconds_by_reason):
            _log_waits(step, now)
        return
    _add_time(step, now)
    step.wait_reason = reason
    if reason is WaitReason.NONE and not step.pending:
        _log_waits(step, now)
    elif reason is WaitReason.BACKOFF:
        waits.log_due_at = Instant(inf)
    else:
        waits.log_due_at = Instant(now + STABLE_REASON_S)


def log_unfinished_waits(job: JobState, now: Instant) -> None:
    """Log the waits of a job that ends before all its steps have started."""
    for step in job.steps_by_key.values():
        if step.wait_reason is not WaitReason.NONE and step.pending:
            _log_waits(step, now)


def _add_time(step: StepState, now: Instant) -> None:
    """Add the time since the last call to the current reason's."""
    waits = step.waits
    reason = step.wait_reason
    if reason is not WaitReason.NONE:
        waits.last_reason = reason
        seconds = waits.seconds_by_reason
        seconds[reason] = seconds.get(reason, 0.0) + now - waits.counted_until
    waits.counted_until = now


def _log_waits(step: StepState, now: Instant) -> None:
    """Log the time in each reason since the line before, if there was any."""
    _add_time(step, now)
    waits = step.waits
    waits.log_due_at = Instant(inf)
    seconds_by_reason, waits.seconds_by_reason = waits.seconds_by_reason, {}
    rounded = {
        reason.value: round(seconds, 3) for reason, seconds in seconds_by_reason.items()
    }
    if not any(rounded.values()):
        return
    extra = {
        "job": step.key.job_id,
        "queue": step.job.accepted.queue_name,
        "step": f"{step.key.occurrence}.{step.key.step}",
        "reason": waits.last_reason.value,
        "seconds_by_reason": rounded,
        "started": not step.pending,
        "waiting": len(step.pending),
        "allowed": len(step.advice.allowed),
        "failed_on": len(step.failed_on),
        "age_s": round(now - step.job.accepted_at, 3),
    }
    _log.info("step waits", extra=extra)

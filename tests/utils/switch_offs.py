"""Mechanisms that are there for speed or worth, and the edits that switch them off.

``tools/compare_days.py`` plays days with one of them switched off, to measure what it
is worth. None of them guards a promise: see :mod:`tests.utils.mutants` for those.
"""

from dataclasses import dataclass

from tests.utils.source_edits import SourceEdit


@dataclass(frozen=True, slots=True)
class SwitchOff:
    """A mechanism, the load pattern that it answers, and edits that switch it off."""

    name: str
    load_pattern: str
    edits: tuple[SourceEdit, ...]


def _edit(path: str, old: str, new: str) -> SourceEdit:
    return SourceEdit(path, old, new)


SWITCH_OFFS = (
    SwitchOff(
        "followers",
        "tens of nodes read all jobs from the store",
        (
            _edit(
                "scheduling/membership/followers.py",
                "FOLLOWERS_PER_DATA_CENTRE = 3",
                "FOLLOWERS_PER_DATA_CENTRE = 1_000",
            ),
        ),
    ),
    SwitchOff(
        "sized-advice",
        "requests name more workers than their steps can use",
        (
            _edit(
                "scheduling/advice/advice_choice.py",
                "MIN_WORKERS_PER_REQUEST = 30",
                "MIN_WORKERS_PER_REQUEST = 60",
            ),
        ),
    ),
    SwitchOff(
        "hedged-advice",
        "an entry VM that requests advice is slow or cut off",
        (
            _edit(
                "node/hedged_advice.py",
                "if not request.is_done and request.attempts < MAX_ATTEMPTS:",
                "if False:",
            ),
        ),
    ),
    SwitchOff(
        "urgent-advice-reserve",
        "slow decisions occupy every entry VM",
        (
            _edit(
                "scheduling/advice/advice_requests.py",
                "return max(1, self.max_concurrent - reserved)",
                "return self.max_concurrent + 0 * reserved",
            ),
        ),
    ),
    SwitchOff(
        "cold-workers",
        "an evacuated data centre is returned, and tasks take longer there at first",
        (
            _edit(
                "scheduling/placement/placement.py",
                "            worker.is_cold(capacity_index.now),\n",
                "",
            ),
            _edit(
                "scheduling/placement/gang_choice.py",
                "[worker for worker in unreserved if not worker.is_cold(now)]",
                "unreserved + 0 * [now]",
            ),
        ),
    ),
    SwitchOff(
        "incarnation-questions",
        "a worker restarts under its id, and takes calls that were meant for before",
        (
            _edit(
                "scheduling/contact/worker_polls.py",
                "    if not worker.is_incarnation_certain:\n        lease_end = None\n",
                "",
            ),
            _edit(
                "scheduling/contact/worker_polls.py",
                "worker.stored_end_number if worker.is_incarnation_certain else 0",
                "worker.stored_end_number",
            ),
        ),
    ),
    SwitchOff(
        "foreign-leases",
        "a worker that took a lease of its former incarnation is cut off",
        (
            _edit(
                "scheduling/contact/worker_leases.py",
                "            worker.record_former(other, now, state.longest_lease_s)\n",
                "            worker.lease_ends = "
                "max(worker.lease_ends, other.lease_ends)\n",
            ),
        ),
    ),
    SwitchOff(
        "incarnation-questions",
        "a worker restarts while calls wait for a connection to it",
        (
            _edit(
                "platform/http.py",
                "        if connection.peer is not None:\n",
                "        if True:\n",
            ),
        ),
    ),
    SwitchOff(
        "suspected-workers",
        "a worker is cut off, and orders go to it until a second poll fails",
        (
            _edit(
                "scheduling/evidence/suspected_workers.py",
                "if worker.is_suspected or worker.answered_at > sent_at:",
                "if True:",
            ),
        ),
    ),
    SwitchOff(
        "speculative-copies",
        "a worker that runs urgent tasks is cut off or becomes slow",
        (
            _edit(
                "scheduling/scheduler_state.py",
                "if step is None or not step.allows_speculative_copy"
                " or index in step.done:",
                "if True:",
            ),
        ),
    ),
    SwitchOff(
        "stragglers",
        "a few workers become several times slower or make no progress",
        (
            _edit(
                "scheduling/placement/stragglers.py",
                "        if len(jobs) >= MIN_STRAGGLING_JOBS or worker.is_slow(now):",
                "        if False:",
            ),
        ),
    ),
    SwitchOff(
        "stuck-runs",
        "workers make no progress with some of their runs while they answer polls",
        (
            _edit(
                "scheduling/placement/stragglers.py",
                "    return stalled_s > max(",
                "    return False and stalled_s > max(",
            ),
        ),
    ),
    SwitchOff(
        "suspect-isolation",
        "tasks that crash their workers restart beside others that just started",
        (
            _edit(
                "scheduling/evidence/suspect_isolation.py",
                "    if not state.suspected_tasks:\n        return workers",
                "    if True:\n        return workers",
            ),
            _edit(
                "scheduling/evidence/suspect_isolation.py",
                "    if not state.suspected_tasks:\n        return [GangWorkers(",
                "    if True:\n        return [GangWorkers(",
            ),
        ),
    ),
    SwitchOff(
        "placement-slices",
        "wide jobs start, and answers and heartbeats wait for all of their tasks",
        (
            _edit(
                "scheduling/placement/placement.py",
                "MAX_STARTS_PER_ROUND = 200",
                "MAX_STARTS_PER_ROUND = 1_000_000",
            ),
        ),
    ),
    SwitchOff(
        "widespread-crashes",
        "many workers crash at the same moment, again and again",
        (
            _edit(
                "scheduling/evidence/common_cause.py",
                "    if at is None or not worker.runs_by_task"
                " or not _has_answered(worker):",
                "    if True:",
            ),
        ),
    ),
    SwitchOff(
        "probation",
        "a worker fails all that it starts",
        (
            _edit(
                "scheduling/execution/run_ends.py",
                "if worker.failures_in_row >= FAILURES_BEFORE_BACKOFF:",
                "if False:",
            ),
        ),
    ),
    SwitchOff(
        "preemption",
        "urgent jobs arrive while longer work fills the pool",
        (
            _edit(
                "scheduling/scheduler.py",
                "        if not blocked_steps:\n            return",
                "        return",
            ),
        ),
    ),
    SwitchOff(
        "share-tiers",
        "one workspace submits many times its usual number",
        (
            _edit(
                "scheduling/jobs/ranking.py",
                "        if next_free_at - now > SHARE_BURST_S:\n"
                "            return True\n",
                "",
            ),
        ),
    ),
    SwitchOff(
        "pool-shares",
        "one workspace asks for several times its usual of a full pool",
        (
            _edit(
                "scheduling/jobs/ranking.py",
                "        step.exceeds_pool_share,\n",
                "        False,\n",
            ),
        ),
    ),
    SwitchOff(
        "ceiling-fraction",
        "a workspace's long jobs fill its ceiling",
        (
            _edit(
                "scheduling/limits/ceilings.py",
                "NON_URGENT_CEILING_FRACTION = 0.85",
                "NON_URGENT_CEILING_FRACTION = 1.0",
            ),
        ),
    ),
    SwitchOff(
        "urgent-peaks",
        "workspaces differ in how much of their ceiling urgent jobs take",
        (
            _edit(
                "scheduling/limits/ceilings.py",
                "NON_URGENT_CEILING_FRACTION if observed is None else observed",
                "NON_URGENT_CEILING_FRACTION",
            ),
        ),
    ),
    SwitchOff(
        "one-data-centre",
        "a data centre is cut off",
        (
            _edit(
                "scheduling/placement/placement.py",
                "            worker.entry.data_centre != data_centre,\n",
                "",
            ),
        ),
    ),
    SwitchOff(
        "admission",
        "the work ahead takes longer than a job may wait",
        (
            _edit(
                "scheduling/admission/admission.py",
                "    if wait_s <= max_wait_s:",
                "    if True:",
            ),
        ),
    ),
    SwitchOff(
        "ordered-returns",
        "many callers of one workspace are refused within a moment",
        (
            _edit(
                "scheduling/shares/returns.py",
                "        if self._count < MAX_PROMISES:",
                "        if False:",
            ),
        ),
    ),
    SwitchOff(
        "forecast",
        "callers' estimates are far off",
        (
            _edit(
                "scheduling/estimates/forecast.py",
                "        if means is None:\n            return estimated_ms",
                "        if True:\n            return estimated_ms",
            ),
        ),
    ),
    SwitchOff(
        "reservations",
        "gangs of large tasks on a pool that smaller steps keep busy",
        (
            _edit(
                "scheduling/placement/reservations.py",
                "if self._fits_limits(step, planned):",
                "if False:",
            ),
        ),
    ),
    SwitchOff(
        "worker-speeds",
        "a quarter of the workers have half the speed of the others",
        (
            _edit(
                "scheduling/placement/placement.py",
                "if not state.worker_speeds.has_samples:",
                "if True:",
            ),
        ),
    ),
    SwitchOff(
        "urgent-headroom",
        "bursts of urgent jobs on a pool that long work would fill",
        (
            _edit(
                "scheduling/placement/headroom.py",
                "if not _leaves_headroom(step, self._now):",
                "if True:",
            ),
        ),
    ),
    SwitchOff(
        "duration-spread",
        "durations within a step differ by two times by themselves",
        (
            _edit(
                "scheduling/estimates/duration_spread.py",
                "if self.count < MIN_SPREAD_SAMPLES:",
                "if True:",
            ),
        ),
    ),
    SwitchOff(
        "whole-workers",
        "tasks on one accelerator each, beside gangs of whole workers",
        (
            _edit(
                "scheduling/placement/headroom.py",
                "return self._large.allows(service, amount, chosen)",
                "return True",
            ),
        ),
    ),
    SwitchOff(
        "gang-beside-gang",
        "two gangs wait for workers that suffice for one",
        (
            _edit(
                "scheduling/placement/reservations.py",
                "free = worker.free - self._reserved_by_worker.get(worker.incarnation,"
                " NOTHING)",
                "free = worker.free",
            ),
        ),
    ),
    SwitchOff(
        "early-claim",
        "the holder is cut off, frozen or turned away by the store",
        (
            _edit(
                "scheduling/membership/holder_watch.py",
                "if is_unresponsive:",
                "if False:",
            ),
        ),
    ),
    SwitchOff(
        "remote-contact",
        "a data centre is cut off, and its callers lose their tries there",
        (_edit("node/node.py", "        self._remote_contact.start()\n", ""),),
    ),
    SwitchOff(
        "heartbeat-fallback",
        "the part of the store with the holder topic is away, that with jobs works",
        (
            _edit(
                "node/holder.py",
                "        self._heartbeats.start_fallback(self._writer.add)\n",
                "",
            ),
        ),
    ),
    SwitchOff(
        "holder-notices",
        "the store turns away the holder and other VMs, which can't read who is next",
        (
            _edit(
                "node/holder_election.py",
                "        is_new = message.is_holder and self._note_holder(",
                "        is_new = False and self._note_holder(",
            ),
        ),
    ),
    SwitchOff(
        "hand-over",
        "a small VM becomes the holder while all large ones are lost",
        (_edit("node/holder_election.py", "        if larger:", "        if False:"),),
    ),
    SwitchOff(
        "refused-relay-timeout",
        "a VM that the store turns away hands jobs to a holder that is slow",
        (
            _edit(
                "node/submissions.py",
                "        if self._may_be_cut_off():",
                "        if not self._has_store_contact():",
            ),
        ),
    ),
    SwitchOff(
        "processor-speed",
        "the holder's VM becomes several times slower, and its heartbeats still arrive",
        (
            _edit(
                "node/processor_speed.py",
                "        if not self._is_needed():",
                "        if True:",
            ),
        ),
    ),
    SwitchOff(
        "urgent-polls",
        "an answer to a poll of a worker with urgent runs is lost",
        (
            _edit(
                "scheduling/contact/worker_polls.py",
                "URGENT_POLL_WAIT_MS = 400",
                "URGENT_POLL_WAIT_MS = POLL_WAIT_MS",
            ),
        ),
    ),
    SwitchOff(
        "log-classes",
        "lines about waits take the rate limit of those about jobs",
        (
            _edit(
                "internal/jsonlog.py",
                "return _CLASS_BY_MESSAGE.get(message, LineClass.OTHER)",
                "return LineClass.OTHER",
            ),
        ),
    ),
    SwitchOff(
        "wait-log",
        "hundreds of steps alternate between wait reasons at each tick",
        (
            _edit(
                "scheduling/jobs/wait_log.py",
                "        waits.log_due_at = Instant(now + STABLE_REASON_S)",
                "        _log_waits(step, now)",
            ),
        ),
    ),
)

SWITCH_OFFS_BY_NAME = {switch_off.name: switch_off for switch_off in SWITCH_OFFS}

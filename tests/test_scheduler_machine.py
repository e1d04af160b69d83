"""Random histories with faults check the invariants of the scheduler."""

from typing import Any

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)
from returns.result import Success

from tamarackmount.ids import JobId, WorkerId, WorkspaceId
from tamarackmount.job_spec import parse_job_spec
from tamarackmount.kernel.job_effects import TeamLimits
from tamarackmount.kernel.jobs import AttemptPhase, JobState
from tamarackmount.kernel.messages import JobAction
from tests.utils.build_jobs import call_on, spec_text, submit, worker
from tests.utils.faulty_scheduler_harness import FaultySchedulerHarness
from tests.utils.prove import machine_settings

TEAMS = [WorkspaceId("retail"), WorkspaceId("print")]
WORKERS = ["w1", "w2", "w3"]
OPEN_JOB_STATES = {JobState.WAITING, JobState.RUNNING}
QUIET_S = 12.0
"""Time without faults before the ceilings are checked, in seconds."""

SETTLE_S = 900.0
"""Maximum time in which all jobs must end after the faults, in seconds."""


class SchedulerMachine(RuleBasedStateMachine):
    """Submits and cancels jobs, injects faults and replaces the owner at random."""

    harness: FaultySchedulerHarness
    job_count = 0

    @initialize(seed=st.integers(0, 2**16), faults=st.sampled_from([0, 10, 30]))
    def start(self, seed: int, faults: int) -> None:
        workers = [
            worker("w1", cores=4, rack="r1"),
            worker("w2", cores=4, rack="r2"),
            worker("w3", cores=4, accelerators=2, rack="r2"),
        ]
        self.harness = FaultySchedulerHarness(workers, seed)
        self.harness.run(0.5)
        self.harness.fault_percent = faults
        self.job_count = 0

    @rule(
        kind=st.sampled_from(["batch", "batch", "service", "gang"]),
        tasks=st.integers(1, 5),
        cores=st.integers(1, 4),
        accelerators=st.sampled_from([0, 0, 0, 1]),
        run_ms=st.sampled_from([300, 2_000, 6_000]),
        idempotent=st.booleans(),
        priority=st.sampled_from(["normal", "normal", "urgent"]),
        team=st.sampled_from(TEAMS),
    )
    def submit_one(self, team: WorkspaceId, **changes: Any) -> None:
        self.submit(team, **changes)

    def submit(self, team: WorkspaceId, **changes: Any) -> None:
        self.job_count += 1
        name = f"j{self.job_count}"
        job_id = JobId(f"dc1:{team}:{name}")
        spec = parse_job_spec(spec_text(name, **changes))
        assert isinstance(spec, Success)
        self.harness.specs_by_job[job_id] = spec.unwrap()
        self.harness.call_jobs[self.job_count] = job_id
        self.harness.call(submit(name, team, self.job_count, **changes))

    @rule(
        jobs=st.lists(st.sampled_from(["batch", "gang", "service"]), max_size=4),
        tasks=st.integers(2, 6),
        cores=st.integers(1, 2),
        idempotent=st.booleans(),
        team=st.sampled_from(TEAMS),
        seconds=st.sampled_from([0.5, 3.0]),
    )
    def submit_many(
        self, jobs: list[str], team: WorkspaceId, seconds: float, **changes: Any
    ) -> None:
        for kind in jobs:
            self.submit(team=team, kind=kind, run_ms=4_000, **changes)
        self.harness.run(seconds)

    @precondition(lambda self: self.job_count)
    @rule(number=st.integers(0, 40))
    def cancel(self, number: int) -> None:
        job_ids = sorted(self.harness.specs_by_job)
        job_id = job_ids[number % len(job_ids)]
        _, team, name = job_id.split(":")
        self.harness.call(call_on(JobAction.CANCEL, name, WorkspaceId(team), 10_000))

    @rule(seconds=st.sampled_from([0.1, 0.5, 1.5, 4.0, 7.0]))
    def wait(self, seconds: float) -> None:
        self.harness.run(seconds)

    @rule(name=st.sampled_from(WORKERS))
    def cut_off(self, name: str) -> None:
        self.harness.cut_off ^= {WorkerId(name)}

    @rule(name=st.sampled_from(WORKERS))
    def restart_worker(self, name: str) -> None:
        fake = self.harness.workers_by_id[WorkerId(name)]
        fake.attempts_by_task.clear()

    @rule(name=st.sampled_from(WORKERS))
    def list_or_unlist(self, name: str) -> None:
        self.harness.unlisted ^= {WorkerId(name)}
        self.harness.list_workers()

    @rule(name=st.sampled_from(WORKERS))
    def fail_or_heal(self, name: str) -> None:
        fake = self.harness.workers_by_id[WorkerId(name)]
        fake.fails_starts = not fake.fails_starts

    @rule(
        retail_limit=st.sampled_from([None, 1, 3, 6]),
        print_limit=st.sampled_from([None, 2, 5]),
    )
    def limit(self, retail_limit: int | None, print_limit: int | None) -> None:
        limits = (
            TeamLimits(share=2.0, running_tasks=retail_limit),
            TeamLimits(share=1.0, running_tasks=print_limit),
        )
        self.harness.set_teams(dict(zip(TEAMS, limits, strict=True)))

    @rule()
    def replace_owner(self) -> None:
        self.harness.take_over()

    @invariant()
    def invariants_hold(self) -> None:
        if not hasattr(self, "harness"):
            return
        self.harness.check()
        self._check_counts()
        self._check_gangs()

    def teardown(self) -> None:
        """End all faults and check that all jobs then end and free their capacity."""
        if not hasattr(self, "harness"):
            return
        harness = self.harness
        harness.fault_percent = 0
        harness.cut_off.clear()
        harness.unlisted.clear()
        for fake in harness.workers_by_id.values():
            fake.fails_starts = False
        harness.list_workers()
        harness.run(QUIET_S)
        for team in TEAMS:
            limit = harness.teams.get(team, TeamLimits()).running_tasks
            assert limit is None or harness.running_of(team) <= limit
        harness.set_teams({})
        harness.run(2.0)
        self._cancel_services()
        deadline = harness.now + SETTLE_S
        while harness.now < deadline and not self._is_idle():
            harness.run(1.0)
        self._check_counts()
        self._check_all_ended()

    def _cancel_services(self) -> None:
        for job_id, spec in self.harness.specs_by_job.items():
            if spec.kind.value == "service":
                _, team, name = job_id.split(":")
                self.harness.call(
                    call_on(JobAction.CANCEL, name, WorkspaceId(team), 10_000)
                )

    def _check_counts(self) -> None:
        state = self.harness.owner.scheduler._state
        for job in state.table.jobs_by_id.values():
            assert sum(job.counts().values()) == job.spec.tasks
            assert not job.accepted or state.queue.contains(job) <= bool(job.waiting)
        for capacity in state.ledger.workers_by_id.values():
            link = state.links_by_worker[capacity.id]
            amounts = [one.amount for one in link.attempts_by_task.values()]
            amounts += [one.amount for one in link.orphans_by_key.values()]
            assert capacity.committed.millicores == sum(
                one.millicores for one in amounts
            )
            assert capacity.committed.accelerators == sum(
                one.accelerators for one in amounts
            )

    def _check_gangs(self) -> None:
        state = self.harness.owner.scheduler._state
        for job in state.table.jobs_by_id.values():
            if not job.is_gang or job.is_quarantined or job.gang_broken or job.closing:
                continue
            phases = [one.phase for one in job.attempts_by_index.values()]
            if phases:
                assert job.waiting_count() == 0
                assert AttemptPhase.AWAITING_PREEMPTION not in phases

    def _is_idle(self) -> bool:
        state = self.harness.owner.scheduler._state
        jobs = [state.table.jobs_by_id[job_id] for job_id in self.harness.accepted]
        capacities = state.ledger.workers_by_id.values()
        return all(
            job.state() not in OPEN_JOB_STATES or job.is_infeasible for job in jobs
        ) and not any(
            capacity.committed.millicores or capacity.reserved_for
            for capacity in capacities
        )

    def _check_all_ended(self) -> None:
        state = self.harness.owner.scheduler._state
        for job_id in self.harness.accepted:
            job = state.table.jobs_by_id[job_id]
            ended = job.state() not in OPEN_JOB_STATES
            assert ended or job.is_infeasible, (job_id, job.counts(), job.why_waiting)
        for capacity in state.ledger.workers_by_id.values():
            assert capacity.committed.millicores == 0, capacity
            assert capacity.reserved_for is None, capacity
        for account in state.accounts.accounts_by_team.values():
            assert account.running_tasks == 0


def test_invariants_hold_under_faults() -> None:
    run_state_machine_as_test(
        SchedulerMachine, settings=machine_settings(histories=80, steps=40)
    )

"""State machine test of two data centres of three members under random faults."""

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from tamarackmount.ids import ConfigPath, Epoch, Incarnation, MemberId, Offset
from tamarackmount.kernel.messages import ConfigSync, JobCopied, JobCopy, JobsHeld
from tests.utils.node_fleet import TEAM_PATH, LostKind, NodeFleet, Submission
from tests.utils.prove import machine_settings

NAMES = [f"dc{dc}-{letter}" for dc in (1, 2) for letter in "abc"]
MEMBERS = st.sampled_from(NAMES)
TIMES = st.sampled_from([0.1, 0.7, 2.0, 5.0])
"""Time from a fault to the next event, in seconds."""

QUIET_S = 12.0
"""Time without faults, in seconds, after which records are fully replicated."""

SETTLED_S = 40.0
"""Time after the last fault by which the fleet has converged, in seconds."""


class NodeMachine(RuleBasedStateMachine):
    """Members die, pause and are cut off; the log fails, slows down or loses replies.

    A member is stopped only after ``QUIET_S`` without another fault between members,
    as jobs are guaranteed to be durable only in that case.
    """

    @initialize(seed=st.integers(0, 1_000_000), keep=st.sampled_from([15, 100_000]))
    def start(self, seed: int, keep: int) -> None:
        self.fleet = NodeFleet(seed=seed).configured()
        self.fleet.log.keep = keep
        self.versions: dict[tuple[MemberId, Incarnation, ConfigPath], Offset] = {}
        self.jobs: list[Submission] = []
        self.commands_read = 0
        self.epoch_by_worker: dict[str, Epoch] = {}
        self.run_by_epoch: dict[tuple[str, Epoch], tuple[MemberId, Incarnation]] = {}
        self.share = 1

    # Rules

    @rule(seconds=st.sampled_from([0.1, 0.7, 2.0, 5.0, 13.0]))
    def time_passes(self, seconds: float) -> None:
        self.fleet.run(seconds)

    @rule(name=MEMBERS, old=st.booleans())
    def operator_changes(self, name: str, old: bool) -> None:
        self.share += 1
        expected = 0 if old else -1
        self.fleet.change(name, f"share = {self.share}.0\n", TEAM_PATH, expected)
        self.fleet.run(0.1)

    @rule(one=MEMBERS, other=MEMBERS)
    def operators_race(self, one: str, other: str) -> None:
        for name in (one, other):
            self.share += 1
            self.fleet.change(name, f"share = {self.share}.0\n")
        self.fleet.run(0.1)

    @rule(name=MEMBERS, there=st.booleans())
    def caller_submits(self, name: str, there: bool) -> None:
        home = ("dc2" if name < "dc2" else "dc1") if there else ""
        self.jobs.append(self.fleet.submit(name, home))
        self.fleet.run(0.1)

    @rule(name=MEMBERS, seconds=TIMES)
    def member_is_replaced(self, name: str, seconds: float) -> None:
        self.fleet.heal_network()
        self.fleet.run(QUIET_S)
        self.fleet.stop(name)
        self.fleet.run(seconds)
        self.fleet.start(name)

    @rule(dc=st.sampled_from(["dc1", "dc2"]), seconds=TIMES)
    def owner_is_replaced(self, dc: str, seconds: float) -> None:
        for name in self.fleet.owners(dc)[:1]:
            self.member_is_replaced(name, seconds)

    @rule(name=MEMBERS, paused_s=st.sampled_from([0.5, 1.0, 2.0, 6.0]), seconds=TIMES)
    def member_pauses(self, name: str, paused_s: float, seconds: float) -> None:
        self.fleet.pause(name, paused_s)
        self.fleet.run(seconds)

    @rule(dc=st.sampled_from(["dc1", "dc2"]), paused_s=st.sampled_from([1.0, 6.0]))
    def owner_pauses(self, dc: str, paused_s: float) -> None:
        for name in self.fleet.owners(dc)[:1]:
            self.member_pauses(name, paused_s, paused_s)

    @rule(name=MEMBERS, seconds=TIMES)
    def member_is_cut_off_from_its_data_centre(self, name: str, seconds: float) -> None:
        self.fleet.cut([name], self.fleet.names(name[:3]))
        self.fleet.run(seconds)

    @rule(one=MEMBERS, other=MEMBERS, seconds=TIMES)
    def link_is_cut(self, one: str, other: str, seconds: float) -> None:
        self.fleet.cut([one], [other])
        self.fleet.run(seconds)

    @rule(seconds=TIMES)
    def data_centres_are_cut(self, seconds: float) -> None:
        self.fleet.cut(self.fleet.names("dc1"), self.fleet.names("dc2"))
        self.fleet.run(seconds)

    @rule(name=MEMBERS, seconds=TIMES)
    def member_loses_the_log(self, name: str, seconds: float) -> None:
        self.fleet.cut_from_log.add(MemberId(name))
        self.fleet.run(seconds)

    @rule(
        loss=st.sampled_from([0.0, 0.3]),
        duplicated=st.sampled_from([0.0, 0.3]),
        jitter_s=st.sampled_from([0.0, 0.02, 0.4]),
        seconds=TIMES,
    )
    def network_worsens(
        self, loss: float, duplicated: float, jitter_s: float, seconds: float
    ) -> None:
        self.fleet.loss = loss
        self.fleet.duplicated = duplicated
        self.fleet.jitter_s = jitter_s
        self.fleet.run(seconds)

    @rule(
        down=st.booleans(),
        delay_s=st.sampled_from([0.0, 0.4, 1.5, 4.0]),
        seconds=TIMES,
    )
    def log_worsens(self, down: bool, delay_s: float, seconds: float) -> None:
        self.fleet.log.down = down
        self.fleet.log.delay_s = delay_s
        self.fleet.run(seconds)

    @rule(lost=st.integers(0, 2), late=st.integers(0, 2), seconds=TIMES)
    def log_loses_replies(self, lost: int, late: int, seconds: float) -> None:
        self.fleet.log.lose_replies = lost
        self.fleet.log.late_appends = late
        self.fleet.run(seconds)

    @rule(name=MEMBERS)
    def change_is_written_late(self, name: str) -> None:
        # The log accepts a change that takes effect 15 s later, and fails meanwhile.
        self.fleet.log.down = False
        self.fleet.log.late_appends = 1
        self.fleet.log.late_s = 15.0
        self.operator_changes(name, old=False)
        self.fleet.run(1.0)
        self.fleet.log.down = True
        self.fleet.run(QUIET_S)

    @rule(dc=st.sampled_from(["dc1", "dc2"]), seconds=TIMES)
    def data_centre_falls_apart_without_the_log(self, dc: str, seconds: float) -> None:
        self.fleet.log.down = True
        self.fleet.cut(self.fleet.names(dc), self.fleet.names(dc))
        self.fleet.run(5.0)
        self.fleet.heal_network()
        self.fleet.run(seconds)

    @rule(name=MEMBERS, seconds=TIMES)
    def confirmations_are_lost(self, name: str, seconds: float) -> None:
        kinds = (JobCopied, JobsHeld, JobCopy, ConfigSync)
        self.fleet.lost_kinds |= {LostKind(kind, name) for kind in kinds}
        self.caller_submits(name, there=False)
        self.fleet.run(seconds)

    @rule(seconds=TIMES)
    def everything_heals(self, seconds: float) -> None:
        self.fleet.heal()
        self.fleet.run(seconds)

    # Invariants

    @invariant()
    def no_version_goes_back(self) -> None:
        for run in self.fleet.runs.values():
            config = run.node.log.config
            for path, document in config.documents().items():
                key = (run.member.id, run.incarnation, path)
                assert document.version >= self.versions.get(key, 0)
                self.versions[key] = document.version

    @invariant()
    def members_hold_nothing_but_accepted_changes(self) -> None:
        accepted = self.fleet.log.accepted_changes()
        for run in self.fleet.runs.values():
            for document in run.node.log.config.documents().values():
                assert accepted[document.version].text == document.text

    @invariant()
    def operators_were_told_the_truth(self) -> None:
        texts = {change.text for change in self.fleet.log.accepted_changes().values()}
        for change in self.fleet.changes.values():
            took_effect = change.text in texts
            if change.outcome == "accepted":
                assert took_effect
            if change.outcome in ("conflict", "not_changed"):
                assert not took_effect

    @invariant()
    def workers_never_follow_two_owners(self) -> None:
        commands = self.fleet.commands[self.commands_read :]
        self.commands_read = len(self.fleet.commands)
        for worker_id, epoch, member_id, incarnation in commands:
            assert epoch >= self.epoch_by_worker.get(worker_id, 0)
            self.epoch_by_worker[worker_id] = epoch
            run = (member_id, incarnation)
            known = self.run_by_epoch.setdefault((worker_id[:3], epoch), run)
            assert known == run
        assert not self.fleet.ownership_violations

    @invariant()
    def epochs_belong_to_one_term(self) -> None:
        epochs = [(term.member_id[:3], term.epoch) for term in self.fleet.terms]
        assert len(epochs) == len(set(epochs))

    # Final checks

    def teardown(self) -> None:
        if not hasattr(self, "fleet"):
            return
        fleet = self.fleet
        fleet.heal()
        fleet.run(SETTLED_S)
        self.check_owners()
        self.check_configuration()
        self.check_jobs()
        self.operators_were_told_the_truth()
        self.workers_never_follow_two_owners()
        self.epochs_belong_to_one_term()

    def check_owners(self) -> None:
        before = len(self.fleet.terms)
        self.fleet.run(10.0)
        assert len(self.fleet.owners("dc1")) == len(self.fleet.owners("dc2")) == 1
        assert len(self.fleet.terms) == before, "ownership changes without a fault"

    def check_configuration(self) -> None:
        wanted = self.fleet.log.versions()
        for run in self.fleet.runs.values():
            config = run.node.log.config
            assert run.node.is_ready
            assert {path: config.version(path) for path in wanted} == wanted

    def check_jobs(self) -> None:
        known = self.fleet.known_jobs("dc1") | self.fleet.known_jobs("dc2")
        for job in self.jobs:
            assert job.status, "a caller got no answer"
            if job.status == 201:
                assert job.name in known
            if "not_durable" in job.body:
                assert job.name not in known


TestNodes = NodeMachine.TestCase
TestNodes.settings = machine_settings(histories=14, steps=50)

"""Job records and relayed calls survive lost members, messages and log outages."""

import pytest

from tamarackmount.adapters.worker_schema import AttemptState
from tamarackmount.ids import Epoch, Instant, JobId, MemberId
from tamarackmount.kernel.effects import SendPeer
from tamarackmount.kernel.messages import (
    JobAction,
    JobAnswer,
    JobCall,
    JobCopied,
    JobCopy,
    JobsHeld,
)
from tests.utils.node_fleet import TEAM, LostKind, NodeFleet, Submission

COPY_S = 3.0
"""Time within which a member that joined has stored every record, in seconds."""


def records_held(fleet: NodeFleet, name: str) -> int:
    return fleet.node(name).jobs.record_count


def followers(fleet: NodeFleet) -> list[str]:
    return sorted(set(fleet.names("dc1")) - set(fleet.owners()))


def wait_until_scheduling(fleet: NodeFleet) -> None:
    def ready() -> bool:
        owners = fleet.owners()
        if len(owners) != 1:
            return False
        return fleet.node(owners[0]).jobs.scheduler is not None

    fleet.run_until(ready, 10.0)


def submit_accepted(fleet: NodeFleet, name: str = "dc1-a") -> Submission:
    job = fleet.submit(name)
    fleet.run(1.0)
    assert job.status == 201
    return job


@pytest.mark.parametrize("log_down", [False, True])
@pytest.mark.parametrize("victim", ["owner", "other"])
def test_a_job_survives_the_loss_of_one_member(log_down: bool, victim: str) -> None:
    fleet = NodeFleet().configured()
    fleet.log.down = log_down
    job = submit_accepted(fleet)
    lost = fleet.owners()[0] if victim == "owner" else followers(fleet)[0]
    fleet.stop(lost)
    fleet.run(1.0)
    wait_until_scheduling(fleet)
    fleet.run(3.0)
    assert job.name in fleet.known_jobs("dc1")


def test_jobs_outlive_all_members_replaced_one_after_another() -> None:
    fleet = NodeFleet().configured()
    fleet.log.down = True
    jobs = {submit_accepted(fleet).name}
    for name in fleet.names("dc1"):
        fleet.stop(name)
        fleet.start(name)
        fleet.run(COPY_S + 5.0)
        wait_until_scheduling(fleet)
    fleet.run(5.0)
    assert jobs <= fleet.known_jobs("dc1")


def test_copies_to_a_member_that_joined_are_sent_until_they_arrive() -> None:
    fleet = NodeFleet().configured()
    fleet.log.down = True
    submit_accepted(fleet)
    replaced = followers(fleet)[0]
    fleet.stop(replaced)
    fleet.start(replaced)
    fleet.loss = 0.9
    fleet.run(0.6)
    fleet.loss = 0.0
    fleet.run(COPY_S)
    assert records_held(fleet, replaced) == 1


def test_a_member_cut_off_for_a_while_gets_the_records_it_missed() -> None:
    fleet = NodeFleet().configured()
    fleet.log.down = True
    cut = followers(fleet)[0]
    fleet.cut([cut], fleet.names())
    fleet.run(3.0)
    submit_accepted(fleet)
    fleet.run(8.0)
    fleet.cut_pairs.clear()
    fleet.run(COPY_S)
    assert records_held(fleet, cut) == 1


def test_a_record_stored_in_the_log_still_reaches_every_member() -> None:
    """A copy that was lost is sent again, although the log has the record."""
    fleet = NodeFleet().configured()
    missed = followers(fleet)[0]
    fleet.cut_from_log.add(MemberId(missed))
    fleet.cut([missed], fleet.owners())
    submit_accepted(fleet)
    fleet.cut_pairs.clear()
    fleet.run(COPY_S)
    assert records_held(fleet, missed) == 1


def test_records_of_both_sides_of_a_cut_are_scheduled_after_it() -> None:
    # No workers, since the two owners would take them from each other in turn.
    fleet = NodeFleet(sizes=(4,), workers=0).configured()
    fleet.log.down = True
    fleet.run(3.0)
    left, right = ["dc1-a", "dc1-b"], ["dc1-c", "dc1-d"]
    fleet.cut(left, right)
    fleet.run(10.0)
    assert len(fleet.owners()) == 2
    jobs = [fleet.submit("dc1-a"), fleet.submit("dc1-d")]
    fleet.run(2.0)
    assert [job.status for job in jobs] == [201, 201]
    fleet.cut_pairs.clear()
    fleet.run(15.0)
    assert {job.name for job in jobs} <= fleet.known_jobs("dc1")


def test_a_record_read_late_from_the_log_is_scheduled() -> None:
    """Only the log has the record, and the new owner cannot read it at first."""
    fleet = NodeFleet(sizes=(2,)).configured()
    (owner,) = fleet.owners()
    (other,) = followers(fleet)
    fleet.cut_from_log.add(MemberId(other))
    fleet.cut([owner], [other])
    fleet.run(0.2)
    job = submit_accepted(fleet, owner)
    fleet.stop(owner)
    fleet.run(10.0)
    assert fleet.owners() == [other]
    fleet.heal()
    fleet.run(3.0)
    assert job.name in fleet.known_jobs("dc1")


def stop_owner_of_a_job_stored_by_one_member(fleet: NodeFleet) -> Submission:
    """Stop the owner when one member has the record and the next owner does not."""
    fleet.log.down = True
    fleet.run(3.0)
    (owner,) = fleet.owners()
    missing = followers(fleet)[0]
    fleet.lost_kinds.add(LostKind(JobCopy, missing))
    job = fleet.submit(owner)
    fleet.run_until(lambda: job.status != 0, 1.0)
    fleet.stop(owner)
    fleet.run(0.1)
    assert records_held(fleet, missing) == 0
    fleet.lost_kinds.clear()
    return job


def test_a_new_owner_gets_the_records_that_it_missed() -> None:
    fleet = NodeFleet().configured()
    job = stop_owner_of_a_job_stored_by_one_member(fleet)
    wait_until_scheduling(fleet)
    assert job.name in fleet.known_jobs("dc1")


def test_a_lost_answer_of_a_member_does_not_lose_its_records() -> None:
    fleet = NodeFleet().configured()
    job = stop_owner_of_a_job_stored_by_one_member(fleet)
    (next_owner,) = [
        name for name in fleet.names("dc1") if not records_held(fleet, name)
    ]
    fleet.lost_kinds.add(LostKind(JobsHeld, next_owner))
    wait_until_scheduling(fleet)
    assert fleet.owners() == [next_owner]
    fleet.run(2.0)
    fleet.lost_kinds.clear()
    fleet.run(1.0)
    assert job.name in fleet.known_jobs("dc1")


def test_the_copy_of_a_stale_owner_is_not_confirmed() -> None:
    fleet = NodeFleet().configured()
    (owner,) = fleet.owners()
    name = followers(fleet)[0]
    run = fleet.run_of(name)
    now = Instant(fleet.now + run.offset_s)
    epoch = run.node.ownership.epoch
    for stale, answers in ((epoch - 1, 0), (epoch, 1)):
        copy = JobCopy(Epoch(stale), 7, [])
        effects = run.node.peer_message(MemberId(owner), copy, now)
        assert len(effects) == answers


def test_a_job_whose_record_cannot_be_stored_is_refused_and_never_runs() -> None:
    fleet = NodeFleet(sizes=(1,)).configured()
    fleet.log.down = True
    job = fleet.submit("dc1-a")
    fleet.run(6.0)
    assert job.status == 503
    assert "not_durable" in job.body
    fleet.heal()
    fleet.run(10.0)
    assert not started(fleet, job)
    assert job.name not in fleet.known_jobs("dc1")


def test_a_job_whose_copy_may_have_arrived_is_not_reported_as_refused() -> None:
    """A member stores the copy, its answer is lost, then the owner stops."""
    fleet = NodeFleet(sizes=(2,)).configured()
    fleet.log.down = True
    (owner,) = fleet.owners()
    fleet.run(1.0)
    fleet.lost_kinds.add(LostKind(JobCopied, owner))
    job = fleet.submit(owner)
    fleet.run(6.0)
    body_before_takeover = job.body
    fleet.stop(owner)
    fleet.run(20.0)
    assert job.name in fleet.known_jobs("dc1")
    assert "not_durable" not in body_before_takeover
    assert job.status == 504


def test_an_answer_to_an_earlier_run_reaches_no_caller_of_this_one() -> None:
    fleet = NodeFleet().configured()
    relay = followers(fleet)[0]
    (owner,) = fleet.owners()
    fleet.cut([relay], [owner])
    call = fleet.submit(relay)
    run = fleet.run_of(relay)
    now = Instant(fleet.now + run.offset_s)
    for number in range(1, 10):
        stale_answer = JobAnswer(number, 201, "another caller's job")
        assert not run.node.peer_message(MemberId(owner), stale_answer, now)
    assert not call.status


def test_members_that_take_each_other_for_the_owner_do_not_relay_calls() -> None:
    fleet = NodeFleet(sizes=(2,)).configured()
    run = fleet.run_of("dc1-b")
    now = Instant(fleet.now + run.offset_s)
    call = JobCall(1, JobAction.LIST, TEAM, JobId(""), "")
    assert run.node.ownership.owner == "dc1-a"
    (effect,) = run.node.peer_message(MemberId("dc1-a"), call, now)
    assert isinstance(effect, SendPeer)
    assert isinstance(effect.message, JobAnswer)
    assert effect.message.status == 503


def test_a_caller_gets_an_answer_when_the_owner_loses_ownership() -> None:
    fleet = NodeFleet(sizes=(1,)).configured()
    fleet.log.delay_s = 60.0
    job = fleet.submit("dc1-a")
    fleet.run(0.2)
    fleet.pause("dc1-a", 2.0)
    fleet.run(10.0)
    assert job.status == 504


def test_a_caller_gets_an_answer_when_the_other_data_centre_stops() -> None:
    fleet = NodeFleet().configured()
    job = fleet.submit("dc1-b", "dc2")
    fleet.run(0.0005)
    for name in fleet.names("dc2"):
        fleet.stop(name)
    fleet.run(6.0)
    assert job.status in (201, 503, 504)


def test_appends_stay_within_the_budget_of_the_fleet() -> None:
    fleet = NodeFleet(sizes=(4, 4)).configured()
    fleet.log.append_times.clear()
    for index in range(600):
        fleet.submit(fleet.names()[index % 8])
        fleet.run(0.05)
    times = fleet.log.append_times
    assert times
    peak = max(sum(1 for at in times if start <= at < start + 1) for start in times)
    assert peak <= 350


def started(fleet: NodeFleet, job: Submission) -> bool:
    return any(
        attempt.state is AttemptState.RUNNING
        for worker in fleet.workers_by_id.values()
        for attempt in worker.running()
        if attempt.command.task_id.split(":")[-1].startswith(f"{job.name}/")
    )

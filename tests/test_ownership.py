"""Tests of one member's part in the choice of its data centre's owner."""

from hypothesis import given
from hypothesis import strategies as st

from tamarackmount.ids import (
    DataCentreId,
    Epoch,
    Incarnation,
    Instant,
    MemberId,
    Offset,
)
from tamarackmount.kernel.epochs import TERM_BITS, epoch_of_offset, next_term
from tamarackmount.kernel.messages import ClaimReply, ClaimRequest, Heartbeat
from tamarackmount.kernel.ownership import CLAIM_STAGGER_S, CLAIM_TIMEOUT_S, Ownership
from tamarackmount.kernel.ownership_effects import (
    AppendClaim,
    OwnershipEffect,
    OwnershipLost,
    OwnershipTaken,
    ReplyClaim,
    SendClaimRequest,
)
from tamarackmount.kernel.timing import Timing

A, B, C = MemberId("a"), MemberId("b"), MemberId("c")
TIMING = Timing()
LEASE_S = TIMING.owner_lease_s + TIMING.clock_margin_s
STEP_S = 0.1
RUN = Incarnation(9)


class Driver:
    """Ticks one member's ownership in virtual time."""

    def __init__(self, me: MemberId = A, others: tuple[MemberId, ...] = (B, C)) -> None:
        """Start a member among others."""
        self.now = Instant(10.0)
        self.others = others
        self.log_fresh = True
        index = sorted([me, *others]).index(me)
        self.ownership = Ownership(me, RUN, index, TIMING, self.now)

    def run(self, seconds: float) -> list[OwnershipEffect]:
        effects: list[OwnershipEffect] = []
        for _ in range(round(seconds / STEP_S)):
            self.now = Instant(self.now + STEP_S)
            effects += self.ownership.tick(
                self.others, self.others, self.log_fresh, True, self.now
            )
        return effects

    def receive_heartbeat(
        self, name: MemberId, epoch: Epoch, owner: str
    ) -> list[OwnershipEffect]:
        heartbeat = Heartbeat(
            member_id=name,
            incarnation=Incarnation(1),
            data_centre=DataCentreId("dc1"),
            sequence=1,
            epoch=epoch,
            owner=MemberId(owner),
            config_offset=Offset(1),
            log_age_ms=0,
        )
        return self.ownership.heartbeat_received(heartbeat, self.now)

    def become_owner(self) -> "Driver":
        self.run(LEASE_S + STEP_S)
        self.ownership.claim_logged(epoch_of_offset(Offset(5)), A, True, self.now)
        assert self.ownership.is_owner
        return self


def taken(effects: list[OwnershipEffect]) -> list[Epoch]:
    return [effect.epoch for effect in effects if isinstance(effect, OwnershipTaken)]


def test_a_claim_waits_for_the_whole_lease() -> None:
    driver = Driver()
    assert not driver.run(LEASE_S - STEP_S)
    assert driver.run(2 * STEP_S) == [AppendClaim(Epoch(0))]


def test_a_later_member_by_name_claims_after_a_delay() -> None:
    driver = Driver(B, (A, C))
    assert not driver.run(LEASE_S + CLAIM_STAGGER_S - STEP_S)
    assert driver.run(2 * STEP_S) == [AppendClaim(Epoch(0))]


def test_a_claim_that_the_log_does_not_decide_is_sent_to_the_members() -> None:
    driver = Driver()
    driver.run(LEASE_S + STEP_S)
    effects = driver.run(CLAIM_TIMEOUT_S + 2 * TIMING.heartbeat_s)
    (asked,) = {
        effect.request for effect in effects if isinstance(effect, SendClaimRequest)
    }
    for name in (B, C):
        reply = ClaimReply(name, asked.epoch, True)
        effects = driver.ownership.claim_answered(reply, driver.now)
    assert taken(effects) == [asked.epoch]
    late = epoch_of_offset(Offset(7))
    effects = driver.ownership.claim_logged(late, A, True, driver.now)
    again = OwnershipTaken(late, asked.epoch, previous_owner=A, is_first=False)
    assert effects == [OwnershipLost(asked.epoch), again]


def test_a_claim_of_an_earlier_run_makes_nobody_owner() -> None:
    driver = Driver()
    driver.run(LEASE_S + STEP_S)
    driver.ownership.claim_logged(epoch_of_offset(Offset(5)), A, False, driver.now)
    assert not driver.ownership.is_owner
    assert driver.ownership.owner is None


def test_a_heartbeat_naming_the_claimer_as_owner_does_not_end_its_claim() -> None:
    driver = Driver()
    driver.run(LEASE_S + STEP_S)
    epoch = epoch_of_offset(Offset(5))
    assert not driver.receive_heartbeat(B, epoch, A)
    effects = driver.ownership.claim_logged(epoch, A, True, driver.now)
    assert taken(effects) == [epoch]


def test_an_owner_stops_being_owner_after_a_pause() -> None:
    driver = Driver().become_owner()
    driver.now = Instant(driver.now + TIMING.pause_limit_s + 0.01)
    effects = driver.ownership.check_for_pause(driver.now)
    assert OwnershipLost(epoch_of_offset(Offset(5))) in effects
    assert not driver.ownership.is_owner
    assert not driver.run(LEASE_S - STEP_S)


def test_an_owner_remains_owner_after_a_short_pause() -> None:
    driver = Driver().become_owner()
    driver.now = Instant(driver.now + TIMING.pause_limit_s - 0.01)
    assert not driver.ownership.check_for_pause(driver.now)
    assert driver.ownership.is_owner


def test_the_owner_of_a_known_epoch_is_followed_after_its_heartbeat() -> None:
    driver = Driver()
    epoch = epoch_of_offset(Offset(5))
    driver.ownership.superseded(epoch, driver.now)
    driver.receive_heartbeat(C, epoch, C)
    assert driver.ownership.owner == C
    driver.receive_heartbeat(B, epoch, B)
    assert driver.ownership.owner == C


def test_a_member_does_not_follow_itself() -> None:
    driver = Driver()
    driver.receive_heartbeat(B, epoch_of_offset(Offset(5)), A)
    assert driver.ownership.owner is None
    assert not driver.ownership.is_owner


def test_a_claim_is_refused_while_the_owner_is_alive() -> None:
    driver = Driver()
    epoch = epoch_of_offset(Offset(5))
    driver.receive_heartbeat(C, epoch, C)
    higher = next_term(epoch, 1, RUN)
    assert higher is not None
    (answer,) = driver.ownership.claim_requested(
        ClaimRequest(B, RUN, higher), driver.now
    )
    assert answer == ReplyClaim(B, ClaimReply(A, higher, False))


def test_a_repeated_claim_is_accepted_again_but_not_one_of_another_run() -> None:
    driver = Driver()
    driver.run(LEASE_S - STEP_S)
    driver.now = Instant(driver.now + 3 * STEP_S)
    epoch = next_term(Epoch(0), 1, RUN)
    assert epoch is not None
    request = ClaimRequest(B, RUN, epoch)
    for _ in range(2):
        answer = driver.ownership.claim_requested(request, driver.now)[-1]
        assert answer == ReplyClaim(B, ClaimReply(A, epoch, True))
    other = ClaimRequest(B, Incarnation(RUN + 1), epoch)
    answer = driver.ownership.claim_requested(other, driver.now)[-1]
    assert answer == ReplyClaim(B, ClaimReply(A, epoch, False))


@given(
    st.lists(st.tuples(st.integers(0, 63), st.integers(0, 255)), max_size=30),
    st.integers(0, 2**30),
)
def test_epochs_without_the_log_increase_and_stay_below_the_next_logged_claim(
    claims: list[tuple[int, int]], offset: int
) -> None:
    epoch = epoch_of_offset(Offset(offset))
    for index, run in claims:
        after = next_term(epoch, index, Incarnation(run))
        assert after is not None
        assert epoch < after < epoch_of_offset(Offset(offset + 1))
        epoch = after


@given(st.integers(0, 63), st.integers(0, 63), st.integers(0, 255), st.integers(0, 255))
def test_epochs_of_two_members_or_runs_differ(
    one: int, other: int, run: int, later_run: int
) -> None:
    same = (one, run) == (other, later_run)
    first = next_term(Epoch(0), one, Incarnation(run))
    second = next_term(Epoch(0), other, Incarnation(later_run))
    assert (first == second) is same


def test_epochs_without_the_log_are_exhausted_before_the_next_offset() -> None:
    last = Epoch(epoch_of_offset(Offset(4)) + (1 << TERM_BITS) - 1)
    assert next_term(last, 0, RUN) is None

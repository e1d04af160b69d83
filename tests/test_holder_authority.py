"""What a holder may do while the store does not hear it."""

import pytest

from tamarackmount.ids import DataCentreId, Instant, MemberId
from tamarackmount.scheduling.holder_authority import (
    FULL_AUTHORITY_LIMIT_S,
    RENEWAL_LIMIT_S,
    STORE_CONTACT_TIMEOUT_MS,
    HolderAuthority,
    holder_authority,
)
from tamarackmount.scheduling.holder_watch import (
    HEARTBEAT_TIMEOUT_S,
    Candidate,
    HolderWatch,
    candidate_rank,
)
from tamarackmount.scheduling.journal import HolderRecord

ME = MemberId("a")
OTHER = MemberId("b")
AWAY_MS = STORE_CONTACT_TIMEOUT_MS + 1


@pytest.mark.parametrize(
    ("age_s", "ages_ms", "expected"),
    [
        (0.0, [], HolderAuthority.FULL),
        (FULL_AUTHORITY_LIMIT_S + 0.1, [], HolderAuthority.RENEW_ONLY),
        (FULL_AUTHORITY_LIMIT_S + 0.1, [AWAY_MS] * 8, HolderAuthority.FULL),
        (
            FULL_AUTHORITY_LIMIT_S + 0.1,
            [AWAY_MS] * 7 + [10],
            HolderAuthority.RENEW_ONLY,
        ),
        (FULL_AUTHORITY_LIMIT_S + 0.1, [AWAY_MS] * 3, HolderAuthority.RENEW_ONLY),
        (RENEWAL_LIMIT_S + 0.1, [AWAY_MS] * 3, HolderAuthority.NONE),
        (RENEWAL_LIMIT_S + 10.0, [AWAY_MS] * 8, HolderAuthority.FULL),
    ],
)
def test_a_holder_goes_on_only_while_nobody_can_claim(
    age_s: float, ages_ms: list[int], expected: HolderAuthority
) -> None:
    assert holder_authority(age_s, 8, ages_ms) is expected


def test_a_replaced_holder_has_stopped_when_its_last_order_is_reckoned_over() -> None:
    watch = watch_of(HolderRecord(OTHER, 5, 1, 100))
    ends_s = HEARTBEAT_TIMEOUT_S + watch.former_holder_grace_s({})
    assert holder_authority(ends_s, 8, []) is HolderAuthority.NONE
    assert FULL_AUTHORITY_LIMIT_S < RENEWAL_LIMIT_S


def watch_of(record: HolderRecord | None) -> HolderWatch:
    watch = HolderWatch(Instant(10.0), Instant(10.0))
    watch.heartbeat_received(record, Instant(10.0))
    return watch


def test_silence_is_claimed_after_its_time_and_by_turns() -> None:
    watch = watch_of(HolderRecord(OTHER, 5, 1, 100))
    now = Instant(10.0 + HEARTBEAT_TIMEOUT_S)
    watch.store_read(Instant(11.0))
    watch.store_read(now)
    assert not watch.should_claim(0, {}, Instant(now - 0.1))
    assert watch.should_claim(0, {}, now)
    assert not watch.should_claim(1, {}, now)


def test_silence_does_not_count_while_the_store_is_not_read() -> None:
    watch = watch_of(HolderRecord(OTHER, 5, 1, 100))
    assert not watch.should_claim(0, {}, Instant(20.0))
    watch.store_read(Instant(20.0))
    assert not watch.should_claim(0, {}, Instant(20.1))


def test_a_holder_whose_vm_runs_a_later_process_is_replaced_at_once() -> None:
    watch = watch_of(HolderRecord(OTHER, 5, 1, 100))
    assert watch.should_claim(0, {OTHER: 101}, Instant(10.0))
    assert not watch.should_claim(0, {OTHER: 100}, Instant(10.0))
    assert watch.former_holder_grace_s({OTHER: 101}) == 0.0
    assert watch.former_holder_grace_s({OTHER: 100}) > 0.0


def test_a_sign_of_life_of_an_earlier_epoch_is_not_taken() -> None:
    watch = watch_of(HolderRecord(OTHER, 5, 1, 100))
    watch.heartbeat_received(HolderRecord(ME, 4, 9, 100), Instant(12.0))
    assert watch.record is not None
    assert watch.record.epoch == 5
    assert watch.silent_since == Instant(10.0)


def candidate(name: str, data_centre: str, cores: float = 1.0) -> Candidate:
    return Candidate(MemberId(name), DataCentreId(data_centre), cores)


def turns(rows: list[Candidate], names: str, former: MemberId | None) -> list[int]:
    return [candidate_rank(MemberId(name), rows, former) for name in names]


def test_nodes_with_most_processor_time_claim_first() -> None:
    rows = [candidate("a", "x", 0.5), candidate("b", "x", 2), candidate("c", "x", 2)]
    assert turns(rows, "bca", None) == [0, 1, 2]


def test_data_centres_take_turns_and_that_of_the_lost_holder_is_last() -> None:
    rows = [candidate(name, "x") for name in "abc"]
    rows += [candidate("d", "y"), candidate("e", "y"), candidate("f", "z")]
    assert turns(rows, "adfbec", None) == [0, 1, 2, 3, 4, 5]
    assert turns(rows, "dfebc", MemberId("a")) == [0, 1, 2, 3, 4]


def test_a_restarted_holder_is_first_on_its_own_vm() -> None:
    rows = [candidate("a", "x"), candidate("b", "y")]
    assert candidate_rank(MemberId("a"), rows, MemberId("a")) == 0

"""Evacuations in the order of their offsets, however they were learned."""

import pytest

from tamarackmount.ids import DataCentreId, Offset
from tamarackmount.platform.config import EvacuationRecord, decode_evacuation
from tamarackmount.scheduling.membership.evacuations import (
    MAX_DATA_CENTRES,
    MAX_NOTICE_LEAD,
    EvacuationChange,
    Evacuations,
)

DC1 = DataCentreId("dc1")
DC2 = DataCentreId("dc2")


def test_a_record_counts_until_a_later_one_withdraws_it() -> None:
    evacuations = Evacuations()
    assert evacuations.apply(DC1, Offset(3), is_evacuated=True)
    assert evacuations.apply(DC2, Offset(4), is_evacuated=True)
    assert evacuations.data_centres == {DC1, DC2}
    assert evacuations.apply(DC1, Offset(5), is_evacuated=False)
    assert evacuations.data_centres == {DC2}


def test_repeated_and_late_records_change_nothing() -> None:
    evacuations = Evacuations()
    evacuations.apply(DC1, Offset(5), is_evacuated=False)
    assert not evacuations.apply(DC1, Offset(3), is_evacuated=True)
    evacuations.apply(DC1, Offset(6), is_evacuated=True)
    assert not evacuations.apply(DC1, Offset(6), is_evacuated=True)
    assert not evacuations.apply(DC1, Offset(5), is_evacuated=False)
    assert evacuations.data_centres == {DC1}


def test_a_snapshot_without_the_record_returns_the_data_centre() -> None:
    evacuations = Evacuations()
    evacuations.apply(DC1, Offset(3), is_evacuated=True)
    assert evacuations.replace({}, Offset(9))
    assert not evacuations.data_centres
    # A node that read the record long ago tells of it only now.
    assert not evacuations.apply(DC1, Offset(3), is_evacuated=True)
    assert not evacuations.data_centres


def test_a_snapshot_does_not_replace_later_changes() -> None:
    evacuations = Evacuations()
    evacuations.apply(DC1, Offset(12), is_evacuated=True)
    evacuations.apply(DC2, Offset(13), is_evacuated=False)
    assert not evacuations.replace({DC2: Offset(4)}, Offset(9))
    assert evacuations.data_centres == {DC1}
    assert evacuations.replace({DC1: Offset(14), DC2: Offset(15)}, Offset(9))
    assert evacuations.data_centres == {DC1, DC2}


def test_an_older_snapshot_has_no_effect() -> None:
    evacuations = Evacuations()
    evacuations.replace({DC1: Offset(7)}, Offset(9))
    assert not evacuations.replace({}, Offset(6))
    assert evacuations.data_centres == {DC1}


@pytest.mark.parametrize("value", [b"{}", b'{"by": "operator"}', b""])
def test_readable_values_have_no_fault(value: bytes) -> None:
    assert decode_evacuation("evacuate/dc1", value) == EvacuationRecord(DC1)


@pytest.mark.parametrize("value", [b"{", b"[]", b"null", b"\xff\x00", b"0"])
def test_a_value_that_is_not_readable_counts_with_its_fault(value: bytes) -> None:
    evacuation = decode_evacuation("evacuate/dc1", value)
    assert evacuation is not None
    assert evacuation.data_centre == DC1
    assert evacuation.fault


@pytest.mark.parametrize("key", ["config", "wave/dc1", "evacuate/", "evacuate"])
def test_other_keys_evacuate_nothing(key: str) -> None:
    assert decode_evacuation(key, b"{}") is None


def notice(
    offset: int, is_evacuated: bool = True, data_centre: DataCentreId = DC1
) -> EvacuationChange:
    return EvacuationChange(data_centre, Offset(offset), is_evacuated)


def test_a_notice_counts_until_the_reads_have_passed_its_offset() -> None:
    evacuations = Evacuations()
    evacuations.replace({}, Offset(5))
    assert evacuations.apply_notice(notice(8))
    evacuations.advance_to(Offset(8))
    assert evacuations.data_centres == {DC1}
    # The record at offset 8 is of something else.
    assert evacuations.advance_to(Offset(9))
    assert not evacuations.data_centres
    assert not evacuations.apply_notice(notice(8))


def test_a_notice_withdraws_no_evacuation_that_was_read() -> None:
    evacuations = Evacuations()
    evacuations.apply(DC1, Offset(3), is_evacuated=True)
    assert not evacuations.apply_notice(notice(9, is_evacuated=False))
    evacuations.apply_notice(notice(4, data_centre=DC2))
    evacuations.apply_notice(notice(5, is_evacuated=False, data_centre=DC2))
    # A late repetition of the first notice.
    assert not evacuations.apply_notice(notice(4, data_centre=DC2))
    assert evacuations.data_centres == {DC1}


@pytest.mark.parametrize("is_evacuated", [False, True])
def test_a_notice_far_ahead_does_not_override_the_reads(is_evacuated: bool) -> None:
    evacuations = Evacuations()
    # Before the first read it can't be judged.
    evacuations.apply_notice(notice(2**63 - 1, is_evacuated))
    evacuations.replace({}, Offset(5))
    assert not evacuations.data_centres
    assert not evacuations.apply_notice(notice(6 + MAX_NOTICE_LEAD, is_evacuated))
    assert evacuations.apply(DC1, Offset(5), is_evacuated=True)
    assert evacuations.apply(DC1, Offset(6), is_evacuated=False)
    assert not evacuations.data_centres


def test_the_number_of_data_centres_from_notices_is_bounded() -> None:
    evacuations = Evacuations()
    for number in range(MAX_DATA_CENTRES + 5):
        name = DataCentreId(f"dc-{number}")
        evacuations.apply_notice(notice(number, data_centre=name))
    assert len(evacuations.data_centres) == MAX_DATA_CENTRES
    # Records of the operator count in any case.
    assert evacuations.apply(DC1, Offset(3_000), is_evacuated=True)

"""Evacuations in the order of their offsets, however they were learned."""

import pytest

from tamarackmount.ids import DataCentreId, Offset
from tamarackmount.platform.config import EvacuationRecord, decode_evacuation
from tamarackmount.scheduling.evacuations import Evacuations

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

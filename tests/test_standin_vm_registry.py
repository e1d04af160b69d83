"""Tests of the VM list stand-in: changes are listed after the lag and in order."""

from tamarackmount.adapters.vm_schema import VmState
from tamarackmount.ids import Instant
from tamarackmount.standins.vm_registry import VmRegistry
from tests.utils.build_platform_messages import a_vm

START = Instant(100.0)


def listed_ids(registry: VmRegistry, now: float) -> list[str]:
    return [vm.id for vm in registry.listed(Instant(now)).vms]


def test_initial_vms_are_listed_at_once_and_later_ones_after_the_lag() -> None:
    registry = VmRegistry(2.0, [a_vm("w1")])
    registry.put(START, a_vm("w2"))
    assert listed_ids(registry, START + 1.9) == ["w1"]
    assert listed_ids(registry, START + 2.0) == ["w1", "w2"]


def test_vm_is_listed_as_leaving_and_then_removed() -> None:
    registry = VmRegistry(1.0, [a_vm("w1")])
    assert registry.leave(START, "w1")
    assert registry.delete(Instant(START + 1.0), "w1")
    (before,) = registry.listed(Instant(START + 0.5)).vms
    (leaving,) = registry.listed(Instant(START + 1.5)).vms
    assert (before.state, leaving.state) == (VmState.LIVE, VmState.LEAVING)
    assert listed_ids(registry, START + 2.0) == []


def test_changes_of_unknown_vms_are_reported() -> None:
    registry = VmRegistry(0.0, [])
    assert not registry.leave(START, "w9")
    assert not registry.delete(START, "w9")


def test_deleted_vm_is_not_listed_again_by_an_earlier_change() -> None:
    registry = VmRegistry(1.0, [])
    registry.put(START, a_vm("w1"))
    registry.delete(START, "w1")
    assert listed_ids(registry, START + 5.0) == []
    assert registry.state()["vms"] == []

"""Logic of the stand-in for the platform's VM list, without I/O."""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum
from typing import Any

from pydantic import Field

from tamarackmount.adapters.vm_schema import Vm, VmList, VmState
from tamarackmount.ids import Instant
from tamarackmount.standins.control import BreachLog, FaultBody


class ListMode(Enum):
    """How the VM list responds to calls."""

    UP = "up"
    DOWN = "down"
    SLOW = "slow"


class VmListFaults(FaultBody):
    """Faults of the VM list; ``delay_ms`` delays replies in mode ``slow``."""

    mode: ListMode = ListMode.UP
    delay_ms: int = Field(default=0, ge=0, le=600_000)


@dataclass(frozen=True, slots=True)
class _Change:
    visible_at: Instant
    vm_id: str
    vm: Vm | None


class VmRegistry:
    """The current VMs and the published list, which lags behind them."""

    def __init__(self, lag_s: float, vms: Iterable[Vm]) -> None:
        """List ``vms`` at once and every later change after ``lag_s``."""
        # Stays empty: there are no rules to check, but `Controlled` requires it.
        self.breach_log = BreachLog()
        self.faults = VmListFaults()
        self._lag_s = lag_s
        self._current_by_id = {vm.id: vm for vm in vms}
        self._listed_by_id = dict(self._current_by_id)
        self._changes: deque[_Change] = deque()
        self._reads = 0

    @property
    def is_down(self) -> bool:
        """Whether the list rejects every call."""
        return self.faults.mode is ListMode.DOWN

    @property
    def reply_delay_s(self) -> float:
        """Delay of each reply, in seconds."""
        if self.faults.mode is ListMode.SLOW:
            return self.faults.delay_ms / 1_000
        return 0.0

    def set_faults_json(self, body: bytes) -> None:
        """Replace the faults; raise pydantic's ``ValidationError`` if invalid."""
        self.faults = VmListFaults.model_validate_json(body)

    def put(self, now: Instant, vm: Vm) -> None:
        """Add a VM or replace the one with the same id."""
        self._current_by_id[vm.id] = vm
        self._changes.append(_Change(self._visible_at(now), vm.id, vm))

    def delete(self, now: Instant, vm_id: str) -> bool:
        """Remove a VM; return whether it existed."""
        if self._current_by_id.pop(vm_id, None) is None:
            return False
        self._changes.append(_Change(self._visible_at(now), vm_id, None))
        return True

    def leave(self, now: Instant, vm_id: str) -> bool:
        """Mark a VM as leaving; return whether it exists."""
        vm = self._current_by_id.get(vm_id)
        if vm is None:
            return False
        self.put(now, vm.model_copy(update={"state": VmState.LEAVING}))
        return True

    def listed(self, now: Instant) -> VmList:
        """Return the list as published at ``now``."""
        self._reads += 1
        while self._changes and self._changes[0].visible_at <= now:
            self._publish(self._changes.popleft())
        return VmList(vms=list(self._listed_by_id.values()))

    def state(self) -> dict[str, Any]:
        """Return the current VMs, counters and the current faults."""
        return {
            "reads": self._reads,
            "changes_pending": len(self._changes),
            "vms": [vm.model_dump(mode="json") for vm in self._current_by_id.values()],
            "faults": self.faults.model_dump(mode="json"),
        }

    def _visible_at(self, now: Instant) -> Instant:
        return Instant(now + self._lag_s)

    def _publish(self, change: _Change) -> None:
        if change.vm is None:
            self._listed_by_id.pop(change.vm_id, None)
            return
        self._listed_by_id[change.vm_id] = change.vm

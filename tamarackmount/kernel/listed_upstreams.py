"""The upstreams of the fleet, as the platform's list shows them."""

from collections.abc import Sequence
from dataclasses import dataclass

from tamarackmount.adapters.vm_schema import Vm, VmKind, VmState
from tamarackmount.ids import DataCentreId, UpstreamId
from tamarackmount.internal.addresses import Address
from tamarackmount.kernel.slots import ListedUpstream


@dataclass(frozen=True, slots=True)
class _ServiceSite:
    """A service in a data centre."""

    service: str
    data_centre: DataCentreId


class ListedUpstreams:
    """Upstreams by id, of every data centre."""

    def __init__(self) -> None:
        """Start before the list was read."""
        self._upstreams_by_id: dict[UpstreamId, Vm] = {}
        self._served: frozenset[_ServiceSite] = frozenset()

    def update(self, vms: Sequence[Vm]) -> None:
        """Take in the list of VMs."""
        self._upstreams_by_id = {
            UpstreamId(vm.id): vm for vm in vms if vm.kind is VmKind.UPSTREAM
        }
        self._served = frozenset(
            _ServiceSite(vm.service, vm.data_centre)
            for vm in self._upstreams_by_id.values()
            if vm.state is VmState.LIVE
        )

    def address(self, upstream_id: UpstreamId) -> Address | None:
        """Return where an upstream listens, if it is listed."""
        vm = self._upstreams_by_id.get(upstream_id)
        return None if vm is None else Address(vm.host, vm.port)

    def has_service(self, service: str, data_centre: DataCentreId) -> bool:
        """Tell whether a data centre has an upstream of the service that stays."""
        return _ServiceSite(service, data_centre) in self._served

    def in_data_centre(self, data_centre: DataCentreId) -> list[ListedUpstream]:
        """Return the upstreams of a data centre, for its dispatcher."""
        return [
            ListedUpstream(
                id=upstream_id,
                service=vm.service,
                slots=vm.slots,
                leaving=vm.state is VmState.LEAVING,
            )
            for upstream_id, vm in self._upstreams_by_id.items()
            if vm.data_centre == data_centre
        ]

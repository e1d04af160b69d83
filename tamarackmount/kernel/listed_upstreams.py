"""Upstreams of the fleet on the platform's VM list."""

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
    """Upstreams of all data centres by id."""

    def __init__(self) -> None:
        """Start without upstreams, before the list is read."""
        self._upstreams_by_id: dict[UpstreamId, Vm] = {}
        self._served: frozenset[_ServiceSite] = frozenset()

    def update(self, vms: Sequence[Vm]) -> None:
        """Replace the list of VMs."""
        self._upstreams_by_id = {
            UpstreamId(vm.id): vm for vm in vms if vm.kind is VmKind.UPSTREAM
        }
        self._served = frozenset(
            _ServiceSite(vm.service, vm.data_centre)
            for vm in self._upstreams_by_id.values()
            if vm.state is VmState.LIVE
        )

    def address(self, upstream_id: UpstreamId) -> Address | None:
        """Return the address of an upstream; ``None`` if it is not listed."""
        vm = self._upstreams_by_id.get(upstream_id)
        return None if vm is None else Address(vm.host, vm.port)

    def has_service(self, service: str, data_centre: DataCentreId) -> bool:
        """Return whether a data centre has a live upstream of the service."""
        return _ServiceSite(service, data_centre) in self._served

    def in_data_centre(self, data_centre: DataCentreId) -> list[ListedUpstream]:
        """Return the upstreams of a data centre for its dispatcher."""
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

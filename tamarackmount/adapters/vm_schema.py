"""Messages of the platform's VM list, as JSON over HTTP.

``GET /vms`` responds with a :class:`VmList`. The list lags behind the actual VMs by
some seconds.
"""

from enum import Enum

from pydantic import BaseModel, ConfigDict, Field

from tamarackmount.ids import DataCentreId, RackId


class VmKind(Enum):
    """What a VM is used for."""

    WORKER = "worker"
    UPSTREAM = "upstream"


class VmState(Enum):
    """Whether a VM stays or is about to be removed."""

    LIVE = "live"
    LEAVING = "leaving"


class Vm(BaseModel):
    """An entry of the list.

    Workers have ``millicores``, ``memory_mib`` and ``accelerators``; upstreams
    have ``service``, ``slots`` and ``connections``. ``host`` is an IP address.
    """

    model_config = ConfigDict(extra="forbid", frozen=True)

    id: str = Field(min_length=1)
    kind: VmKind
    data_centre: DataCentreId
    rack: RackId
    host: str
    port: int = Field(ge=1, le=65_535)
    state: VmState = VmState.LIVE
    service: str = ""
    slots: int = Field(default=0, ge=0)
    connections: int = Field(default=0, ge=0)
    millicores: int = Field(default=0, ge=0)
    memory_mib: int = Field(default=0, ge=0)
    accelerators: int = Field(default=0, ge=0)


class VmList(BaseModel):
    """Every VM that the platform lists, in no particular order."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    vms: list[Vm]

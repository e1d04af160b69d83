"""Process that simulates the platform's list of VMs over HTTP.

The list shows each change only after a lag, ``--lag-ms``.
Its control port also serves ``PUT /vms/{id}`` with a VM as body,
``DELETE /vms/{id}`` and ``POST /vms/{id}/leave``.
"""

from dataclasses import dataclass
from pathlib import Path

from pydantic import ValidationError

from tamarackmount.adapters.reactor import Timer
from tamarackmount.adapters.vm_schema import Vm, VmList
from tamarackmount.ids import Instant
from tamarackmount.standins.control import ControlResource
from tamarackmount.standins.process import make_parser, reactor, serve
from tamarackmount.standins.vm_registry import VmRegistry
from tamarackmount.standins.web import (
    HandlerResource,
    WebRequest,
    answer_after_delay,
    answer_invalid,
    answer_json,
    answer_model,
    answer_not_found,
    make_site,
    path_segments,
    read_body,
)


@dataclass(frozen=True, slots=True)
class VmListFront:
    """HTTP front end of a registry of VMs."""

    registry: VmRegistry
    timer: Timer

    def resource(self) -> HandlerResource:
        """Return the resource that the service port serves."""
        return HandlerResource(self._answer)

    def control(self) -> ControlResource:
        """Return the resource that the control port serves."""
        return ControlResource(self.registry, self._change)

    def _answer(self, request: WebRequest) -> bytes | None:
        if (request.method, path_segments(request)) != (b"GET", ["vms"]):
            return answer_not_found(request)
        if self.registry.is_down:
            return answer_json(request, 503, {"error": "down"})
        listed = self.registry.listed(Instant(self.timer.seconds()))
        body = answer_model(request, 200, listed)
        return answer_after_delay(
            self.timer, self.registry.reply_delay_s, request, body
        )

    def _change(self, request: WebRequest) -> bytes | None:
        now = Instant(self.timer.seconds())
        match request.method, path_segments(request):
            case b"PUT", ["vms", vm_id]:
                return self._put(now, request, vm_id)
            case b"DELETE", ["vms", vm_id]:
                return _answer_found(request, self.registry.delete(now, vm_id))
            case b"POST", ["vms", vm_id, "leave"]:
                return _answer_found(request, self.registry.leave(now, vm_id))
        return None

    def _put(self, now: Instant, request: WebRequest, vm_id: str) -> bytes:
        try:
            vm = Vm.model_validate_json(read_body(request))
        except ValidationError as error:
            return answer_invalid(request, error)
        if vm.id != vm_id:
            return answer_json(request, 400, {"error": "id_differs_from_path"})
        self.registry.put(now, vm)
        return answer_json(request, 200, {})


def _answer_found(request: WebRequest, found: bool) -> bytes:
    if found:
        return answer_json(request, 200, {})
    return answer_json(request, 404, {"error": "unknown_vm"})


def main() -> None:
    """Run the stand-in until a signal ends the process."""
    parser = make_parser("Stand-in for the platform's list of VMs.")
    parser.add_argument("--lag-ms", type=int, default=0)
    parser.add_argument("--vm", action="append", default=[], help="a VM as JSON")
    parser.add_argument("--vms-file", type=Path, help="a whole list as JSON")
    arguments = parser.parse_args()
    vms = [Vm.model_validate_json(text) for text in arguments.vm]
    if arguments.vms_file is not None:
        vms += VmList.model_validate_json(arguments.vms_file.read_bytes()).vms
    front = VmListFront(VmRegistry(arguments.lag_ms / 1_000, vms), reactor)
    site = make_site(front.resource())
    control = make_site(front.control())
    serve(arguments, site, control)


if __name__ == "__main__":
    main()

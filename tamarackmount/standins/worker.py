"""Process that simulates one of the platform's workers over HTTP."""

import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, TypeVar

from pydantic import BaseModel, ValidationError
from returns.result import Failure, Result

from tamarackmount.adapters.reactor import Timer
from tamarackmount.adapters.worker_schema import (
    Amount,
    StaleEpoch,
    StartCommand,
    SyncCommand,
    TaskCommand,
    ThrottleCommand,
)
from tamarackmount.ids import Instant, WorkerId
from tamarackmount.standins.control import BreachLog, ControlResource
from tamarackmount.standins.process import make_parser, reactor, serve
from tamarackmount.standins.web import (
    Handler,
    HandlerResource,
    WebRequest,
    answer_invalid,
    answer_json,
    answer_model,
    answer_not_found,
    make_site,
    on_connection_lost,
    path_segments,
    read_body,
)
from tamarackmount.standins.worker_model import WorkerMode, WorkerModel, WorkerPlan

CommandT = TypeVar("CommandT", bound=BaseModel)
ReplyT = TypeVar("ReplyT", bound=BaseModel)


@dataclass(frozen=True, slots=True)
class WorkerFront:
    """HTTP front end of a simulated worker."""

    model: WorkerModel
    timer: Timer

    @property
    def breach_log(self) -> BreachLog:
        """Breaches that the worker detected."""
        return self.model.breach_log

    def state(self) -> dict[str, Any]:
        """Return the current state of the worker."""
        return self.model.state(self._now())

    def set_faults_json(self, body: bytes) -> None:
        """Replace the faults; raise pydantic's ``ValidationError`` if invalid."""
        self.model.set_faults_json(body)

    def resource(self) -> HandlerResource:
        """Return the resource that the service port serves."""
        handlers_by_path: dict[str, Handler] = {
            "sync": self._handler(SyncCommand, self.model.sync),
            "start": self._handler(StartCommand, self.model.start),
            "stop": self._handler(TaskCommand, self.model.stop),
            "checkpoint": self._handler(TaskCommand, self.model.checkpoint),
            "throttle": self._handler(ThrottleCommand, self.model.throttle),
        }

        def answer(request: WebRequest) -> bytes | None:
            handler = handlers_by_path.get("/".join(path_segments(request)))
            if handler is None or request.method != b"POST":
                return answer_not_found(request)
            return self._answer(request, handler)

        return HandlerResource(answer)

    def _now(self) -> Instant:
        return Instant(self.timer.seconds())

    def _answer(self, request: WebRequest, handler: Handler) -> bytes | None:
        mode = self.model.faults.mode
        if mode is WorkerMode.HANG:
            on_connection_lost(request, lambda: None)
            return None
        if mode is WorkerMode.REFUSE:
            return answer_json(request, 503, {"error": "refused"})
        return handler(request)

    def _handler(
        self,
        command_type: type[CommandT],
        execute: Callable[[Instant, CommandT], Result[ReplyT, StaleEpoch]],
    ) -> Handler:
        def handle(request: WebRequest) -> bytes:
            try:
                command = command_type.model_validate_json(read_body(request))
            except ValidationError as error:
                return answer_invalid(request, error)
            result = execute(self._now(), command)
            if isinstance(result, Failure):
                return answer_model(request, 409, result.failure())
            return answer_model(request, 200, result.unwrap())

        return handle


def main() -> None:
    """Run the stand-in until a signal ends the process."""
    parser = make_parser("Stand-in for one of the platform's workers.")
    parser.add_argument("--id", required=True)
    parser.add_argument("--millicores", type=int, default=32_000)
    parser.add_argument("--memory-mib", type=int, default=65_536)
    parser.add_argument("--accelerators", type=int, default=0)
    parser.add_argument("--usage-lag-ms", type=int, default=0)
    parser.add_argument("--usage-factor", type=float, default=1.0)
    parser.add_argument("--run-factor", type=float, default=1.0)
    arguments = parser.parse_args()
    plan = WorkerPlan(
        worker_id=WorkerId(arguments.id),
        capacity=Amount(
            millicores=arguments.millicores,
            memory_mib=arguments.memory_mib,
            accelerators=arguments.accelerators,
        ),
        usage_lag_s=arguments.usage_lag_ms / 1_000,
        usage_factor=arguments.usage_factor,
        run_factor=arguments.run_factor,
        wall_offset_s=time.time() - time.monotonic(),
    )
    front = WorkerFront(WorkerModel(plan), reactor)
    site = make_site(front.resource())
    serve(arguments, site, make_site(ControlResource(front)))


if __name__ == "__main__":
    main()

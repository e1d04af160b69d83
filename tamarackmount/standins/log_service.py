"""Process that simulates the platform's log service over HTTP."""

from dataclasses import dataclass

from pydantic import BaseModel, ConfigDict, Field, ValidationError
from returns.result import Failure

from tamarackmount.adapters.log_schema import MAX_RECORDS_PER_PAGE, AppendRequest
from tamarackmount.adapters.reactor import Timer
from tamarackmount.ids import Instant, Offset
from tamarackmount.standins.control import ControlResource
from tamarackmount.standins.log_store import LogRefusal, LogStore
from tamarackmount.standins.process import make_parser, reactor, serve
from tamarackmount.standins.web import (
    Handler,
    HandlerResource,
    WebRequest,
    answer_after_delay,
    answer_invalid,
    answer_json,
    answer_model,
    answer_not_found,
    close_connection,
    make_site,
    path_segments,
    query_argument,
    read_body,
)


class _ReadQuery(BaseModel):
    model_config = ConfigDict(frozen=True)

    from_offset: Offset = Field(ge=0)
    limit: int = Field(ge=1, le=MAX_RECORDS_PER_PAGE)


@dataclass(frozen=True, slots=True)
class LogFront:
    """HTTP front end of a log store."""

    store: LogStore
    timer: Timer

    def resource(self) -> HandlerResource:
        """Return the resource that the service port serves."""
        return HandlerResource(self._answer)

    def _answer(self, request: WebRequest) -> bytes | None:
        handlers_by_route: dict[tuple[bytes, str], Handler] = {
            (b"POST", "append"): self._append,
            (b"GET", "records"): self._read,
        }
        route = (request.method, "/".join(path_segments(request)))
        handler = handlers_by_route.get(route)
        if handler is None:
            return answer_not_found(request)
        return handler(request)

    def _append(self, request: WebRequest) -> bytes | None:
        try:
            body = AppendRequest.model_validate_json(read_body(request))
        except ValidationError as error:
            return answer_invalid(request, error)
        result = self.store.append(Instant(self.timer.seconds()), body)
        if isinstance(result, Failure):
            return _answer_unavailable(request, result.failure())
        appended = result.unwrap()
        if appended.reply_lost:
            close_connection(request)
            return None
        reply = answer_model(request, 200, appended.reply)
        return answer_after_delay(self.timer, self.store.reply_delay_s, request, reply)

    def _read(self, request: WebRequest) -> bytes | None:
        try:
            query = _ReadQuery.model_validate(
                {
                    "from_offset": query_argument(request, b"from"),
                    "limit": query_argument(request, b"limit"),
                }
            )
        except ValidationError as error:
            return answer_invalid(request, error)
        result = self.store.read(query.from_offset, query.limit)
        if isinstance(result, Failure):
            return _answer_unavailable(request, result.failure())
        page = answer_model(request, 200, result.unwrap())
        return answer_after_delay(self.timer, self.store.reply_delay_s, request, page)


def _answer_unavailable(request: WebRequest, refusal: LogRefusal) -> bytes:
    return answer_json(request, 503, {"error": refusal.value})


def main() -> None:
    """Run the stand-in until a signal ends the process."""
    parser = make_parser("Stand-in for the platform's log service.")
    parser.add_argument("--keep", type=int, default=100_000, help="records to keep")
    parser.add_argument("--max-appends-per-second", type=int, default=500)
    arguments = parser.parse_args()
    store = LogStore(arguments.keep, arguments.max_appends_per_second)
    front = LogFront(store, reactor)
    site = make_site(front.resource())
    control = make_site(ControlResource(store))
    serve(arguments, site, control)


if __name__ == "__main__":
    main()

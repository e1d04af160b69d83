"""``tamarackmount request``: send one request to a queue."""

import base64
from pathlib import Path
from typing import ClassVar

from cleo.helpers import argument, option
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option
from returns.result import Failure

from tamarackmount.cli.base import ApiCommand, UsageError
from tamarackmount.client import Client, QueueRequest
from tamarackmount.client_views import UpstreamResponse
from tamarackmount.http_calls import Header
from tamarackmount.ids import QueueName
from tamarackmount.status import ExitStatus

FILE_PREFIX = "@"
"""Prefix of a ``--data`` value that names a file; ``@-`` is standard input."""

MIN_ERROR_STATUS = 400
"""Lowest HTTP status that ``--check-status`` treats as an error."""


class RequestCommand(ApiCommand):
    """Send one request to an upstream of a queue and print its response."""

    name = "request"
    description = "Send a request to a queue and print the upstream's response."
    arguments: ClassVar[list[Argument]] = [
        argument("queue", "Queue to send to, such as counter."),
    ]
    options: ClassVar[list[Option]] = [
        option(
            "path", None, "Path and query of the request to the upstream.", flag=False
        ),
        option(
            "method",
            None,
            "HTTP method (default: POST if there is a body, else GET).",
            flag=False,
        ),
        option("data", None, "Body as text, @FILE, or @- for stdin.", flag=False),
        option(
            "header",
            None,
            'Header for the upstream, as "Name: value"; may be repeated.',
            flag=False,
            multiple=True,
        ),
        option(
            "request-id",
            None,
            "Id of the request; repeat a request with the same id.",
            flag=False,
        ),
        option(
            "home",
            None,
            "Data centre that detects repeats of non-idempotent requests.",
            flag=False,
        ),
        option(
            "idempotent",
            None,
            "The request may run more than once, whatever its method.",
        ),
        option(
            "non-idempotent",
            None,
            "The request must run at most once, whatever its method.",
        ),
        option(
            "timeout-ms",
            None,
            "Time limit for the final response, in milliseconds.",
            flag=False,
        ),
        option(
            "check-status", None, "Exit with 9 if the upstream's status is an error."
        ),
    ]

    def run_command(self) -> ExitStatus:
        """Check the arguments, then send the request."""
        client = self.make_client(self.option("home") or "")
        request = self._make_request(client)
        return self.env.runner.run(lambda: self._send(client, request))

    async def _send(self, client: Client, request: QueueRequest) -> ExitStatus:
        result = await client.send_request(request)
        if isinstance(result, Failure):
            return self.fail(result.failure())
        response = result.unwrap()
        self._show(response)
        if self.option("check-status") and response.status >= MIN_ERROR_STATUS:
            return ExitStatus.UPSTREAM_ERROR
        return ExitStatus.OK

    def _make_request(self, client: Client) -> QueueRequest:
        body = self._read_body()
        path = self.option("path") or ""
        if path and not path.startswith(("/", "?")):
            path = f"/{path}"
        return QueueRequest(
            queue=QueueName(self.argument("queue")),
            method=(self.option("method") or ("POST" if body else "GET")).upper(),
            path=path,
            headers=tuple(_parse_header(text) for text in self.option("header")),
            body=body,
            request_id=self.option("request-id") or client.make_request_id(),
            idempotent=self._is_idempotent(),
            timeout_ms=self.integer_option("timeout-ms"),
        )

    def _is_idempotent(self) -> bool | None:
        """Return what the options say, or ``None`` to decide by the method."""
        if self.option("idempotent") and self.option("non-idempotent"):
            raise UsageError("--idempotent and --non-idempotent can't be used together")
        if self.option("idempotent"):
            return True
        return False if self.option("non-idempotent") else None

    def _read_body(self) -> bytes:
        data = self.option("data")
        if data is None:
            return b""
        if not data.startswith(FILE_PREFIX):
            return bytes(data.encode())
        name = data.removeprefix(FILE_PREFIX)
        return self.env.read_bytes() if name == "-" else Path(name).read_bytes()

    def _show(self, response: UpstreamResponse) -> None:
        if self.wants_json:
            self.print_json(_response_object(response))
            return
        self.env.print_error(
            f"answered {response.status} by {response.served_by}, "
            f"request id {response.request_id}"
        )
        self.env.write_bytes(response.body)
        if self.env.stdout_is_terminal and not response.body.endswith(b"\n"):
            self.env.print("")


def _parse_header(text: str) -> Header:
    name, colon, value = text.partition(":")
    if not colon or not name.strip():
        raise UsageError(f'--header takes "Name: value", not {text!r}')
    if not text.isascii() or not text.isprintable():
        raise UsageError(f"--header takes printable ASCII, not {text!r}")
    return Header(name.strip(), value.strip())


def _response_object(response: UpstreamResponse) -> dict[str, object]:
    """Return a response as a JSON object; a body that isn't UTF-8 is in base64."""
    value: dict[str, object] = {
        "outcome": "answered",
        "status": response.status,
        "request_id": response.request_id,
        "served_by": response.served_by,
        "headers": [
            {"name": header.name, "value": header.value} for header in response.headers
        ],
    }
    try:
        value["body"] = response.body.decode()
    except UnicodeDecodeError:
        value["body_base64"] = base64.b64encode(response.body).decode()
    return value

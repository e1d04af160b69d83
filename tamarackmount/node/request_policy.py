"""Which requests of callers are refused before their body is read."""

from tamarackmount.internal.bounded_request import BoundedRequest
from tamarackmount.internal.refusals import Refusal, RefusalReason
from tamarackmount.node.http_api import (
    NO_CONFIGURATION,
    ApiResponse,
    Jobs,
    find_target,
)
from tamarackmount.platform.config import DEFAULT_MAX_BODY_BYTES


class CallerPolicy:
    """Refuses requests by the configuration in force."""

    def __init__(self, jobs: Jobs) -> None:
        """Follow the configuration of ``jobs``."""
        self._jobs = jobs

    @property
    def max_body_bytes(self) -> int:
        """The largest body of a request, in bytes."""
        fleet = self._jobs.fleet
        return DEFAULT_MAX_BODY_BYTES if fleet is None else fleet.max_body_bytes

    def refusal(self, request: BoundedRequest, path: str) -> Refusal | None:
        """Return the response to a request whose queue or key is not known."""
        fleet = self._jobs.fleet
        if fleet is None:
            return _refusal(NO_CONFIGURATION)
        target = find_target(request, path, fleet)
        return _refusal(target) if isinstance(target, ApiResponse) else None


def _refusal(response: ApiResponse) -> Refusal:
    return Refusal(
        response.status.value,
        RefusalReason.NOT_SERVED,
        response.retry_after_s,
        response.body,
    )

"""The check of the platform's load balancer."""

from collections.abc import Callable
from typing import Any

from twisted.web.resource import Resource

from tamarackmount.node.http_api import HttpStatus


class ReadinessResource(Resource):
    """Tells the platform's load balancer whether this node takes new connections."""

    isLeaf = True  # noqa: N815  (name set by Twisted)

    def __init__(self, is_ready: Callable[[], bool]) -> None:
        """Respond according to ``is_ready``."""
        Resource.__init__(self)
        self._is_ready = is_ready

    def render(self, request: Any) -> bytes:
        """Respond with 200 if the node is ready, otherwise with 503."""
        is_ready = self._is_ready()
        status = HttpStatus.OK if is_ready else HttpStatus.SERVICE_UNAVAILABLE
        request.setResponseCode(status.value)
        return b""

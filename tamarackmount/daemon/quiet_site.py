"""An HTTP site without an access log."""

from twisted.web.http import Request as HttpRequest
from twisted.web.server import Site


class QuietSite(Site):
    """A site that writes no access log; traces and metrics cover the requests."""

    displayTracebacks = False  # noqa: N815  (twisted's name)
    noisy = False

    def log(self, request: HttpRequest) -> None:
        """Do nothing, instead of writing a line of the access log."""

"""Sites that keep their own log of requests."""

from twisted.web.http import Request as HttpRequest
from twisted.web.server import Site


class QuietSite(Site):
    """A site that leaves the log of requests to traces and metrics."""

    displayTracebacks = False  # noqa: N815  (twisted's name)
    noisy = False

    def log(self, request: HttpRequest) -> None:
        """Write nothing."""

"""A resolver for a reactor whose addresses are all IP addresses."""

from twisted.internet.defer import Deferred, fail
from twisted.internet.error import DNSLookupError
from twisted.internet.interfaces import IResolverSimple
from zope.interface import implementer  # type: ignore[import-untyped]


@implementer(IResolverSimple)
class NoResolver:
    """Fails to resolve any name, at once.

    Twisted would resolve names in a thread, and a thread keeps a process that had a
    fatal error from ending.
    """

    def getHostByName(  # noqa: N802  (name set by Twisted)
        self,
        name: str,
        timeout: object = (),  # noqa: ARG002  (part of the interface)
    ) -> "Deferred[str]":
        """Return a failure: no name has an address."""
        return fail(DNSLookupError(f"expected an IP address, got {name!r}"))

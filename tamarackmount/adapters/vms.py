"""Client of the platform's list of VMs.

Assumptions:

- The list is complete: a VM that is missing from it was removed, or is too new to be
  listed.
- The list lags behind the actual VMs by some seconds: a VM listed as live may
  be leaving or removed.
- The id of a VM is never reused for another VM, and its address never changes.
"""

from dataclasses import dataclass

from returns.result import Result
from twisted.internet.defer import Deferred

from tamarackmount.adapters.http import HttpError, JsonHttpClient
from tamarackmount.adapters.reactor import ClientReactor
from tamarackmount.adapters.vm_schema import VmList


@dataclass(frozen=True, slots=True)
class VmListError:
    """The list could not be fetched."""

    detail: str


class VmListClient:
    """Fetches the platform's list of VMs."""

    def __init__(
        self, reactor: ClientReactor, url: str, call_timeout_s: float = 5.0
    ) -> None:
        """Call the service at ``url``, such as ``http://10.0.0.1:80``."""
        self._http = JsonHttpClient(reactor, call_timeout_s)
        self._url = url.rstrip("/")

    def fetch(self) -> "Deferred[Result[VmList, VmListError]]":
        """Fetch the complete list."""
        called = self._http.get(f"{self._url}/vms", VmList)
        return called.addCallback(lambda result: result.alt(_to_list_error))

    def close(self) -> "Deferred[None]":
        """Close idle connections."""
        return self._http.close()


def _to_list_error(error: HttpError) -> VmListError:
    return VmListError(f"{error.fault.value}: {error.detail}")

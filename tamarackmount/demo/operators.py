"""Calls the HTTP API of entry VMs with the operators' key: configuration, status."""

from pydantic import BaseModel, ValidationError
from returns.result import Failure, Result, Success

from tamarackmount.client import Client
from tamarackmount.client_views import CallError, DocumentView, StatusView
from tamarackmount.demo.cell import Cell
from tamarackmount.demo.topology import DaemonPlan
from tamarackmount.ids import ConfigPath, DataCentreId, MemberId, Offset

HTTP_NOT_FOUND = 404
"""HTTP status of a document that does not exist."""


class _DataCentre(BaseModel):
    owner: MemberId


class _Status(BaseModel):
    data_centres: dict[DataCentreId, _DataCentre]


def _owner_in(view: StatusView, data_centre: DataCentreId) -> MemberId | None:
    try:
        status = _Status.model_validate(view.model_dump())
    except ValidationError:
        return None
    entry = status.data_centres.get(data_centre)
    return entry.owner if entry else None


class Operator:
    """Makes operators' calls; changes go through any healthy entry VM."""

    def __init__(self, cell: Cell) -> None:
        """Call the entry VMs of a cell with its operators' key."""
        self._cell = cell

    async def put(self, path: ConfigPath, text: str) -> None:
        """Write a document over its current version; retry until it succeeds."""

        async def put_once() -> bool:
            client = self._client(self._cell.balancer.pick())
            version = _version(await client.read_config(path))
            if version is None:
                return False
            result = await client.write_config(path, text, version)
            return isinstance(result, Success)

        await self._cell.wait_until(put_once, f"put {path}")

    async def wait_everywhere(self, paths: list[ConfigPath]) -> None:
        """Wait until every entry VM lists all the documents."""

        async def listed() -> bool:
            for daemon in self._cell.topology.daemons:
                result = await self._client(daemon).list_config()
                documents = result.map(lambda view: view.documents).value_or([])
                if not set(paths) <= {document.path for document in documents}:
                    return False
            return True

        await self._cell.wait_until(listed, "every entry VM knows the configuration")

    async def owner(self, data_centre: DataCentreId) -> DaemonPlan:
        """Return the owner of a data centre as reported by its first entry VM.

        If the response names no owner, return the first entry VM.
        """
        daemons = [
            plan
            for plan in self._cell.topology.daemons
            if plan.data_centre == data_centre
        ]
        result = await self._client(daemons[0]).read_status()
        owner = result.map(lambda view: _owner_in(view, data_centre)).value_or(None)
        return next((plan for plan in daemons if plan.id == owner), daemons[0])

    def _client(self, daemon: DaemonPlan) -> Client:
        return self._cell.http.client(daemon, self._cell.operator_key)


def _version(result: Result[DocumentView, CallError]) -> Offset | None:
    """Return the version of a document, 0 if absent, ``None`` on other errors."""
    if isinstance(result, Failure):
        return Offset(0) if result.failure().status == HTTP_NOT_FOUND else None
    return result.unwrap().version

"""What operators do in a run: queues, teams and keys, over HTTP."""

from pydantic import BaseModel, ValidationError

from tamarackmount.demo.balancer import HTTP_OK
from tamarackmount.demo.cell import Cell
from tamarackmount.demo.http import Reply
from tamarackmount.demo.topology import DaemonPlan
from tamarackmount.ids import ConfigPath, DataCentreId, MemberId


class _Version(BaseModel):
    version: int


class _ListedDocument(BaseModel):
    path: ConfigPath
    version: int


class _Config(BaseModel):
    documents: list[_ListedDocument]


class _DataCentre(BaseModel):
    owner: MemberId


class _Status(BaseModel):
    data_centres: dict[DataCentreId, _DataCentre]


def _owner_in(reply: Reply | None, data_centre: DataCentreId) -> MemberId | None:
    if reply is None:
        return None
    try:
        status = _Status.model_validate_json(reply.body)
    except ValidationError:
        return None
    seen = status.data_centres.get(data_centre)
    return seen.owner if seen else None


class Operator:
    """Calls the operators' interface through any healthy entry VM."""

    def __init__(self, cell: Cell) -> None:
        """Use the operators' key of the cell."""
        self._cell = cell

    async def put(self, path: ConfigPath, text: str) -> None:
        """Put a document in force, whatever version it has now."""

        async def put_once() -> bool:
            version = await self._version(path)
            if version is None:
                return False
            reply = await self._call(
                "PUT", f"/v1/config/{path}", {"If-Match": str(version)}, text
            )
            return reply is not None and reply.status == HTTP_OK

        await self._cell.wait_until(put_once, f"put {path}")

    async def wait_everywhere(self, paths: list[ConfigPath]) -> None:
        """Wait until every entry VM knows all the documents."""

        async def known() -> bool:
            for daemon in self._cell.topology.daemons:
                reply = await self._call("GET", "/v1/config", via=daemon.id)
                if reply is None or reply.status != HTTP_OK:
                    return False
                config = _Config.model_validate_json(reply.body)
                if not set(paths) <= {document.path for document in config.documents}:
                    return False
            return True

        await self._cell.wait_until(known, "every entry VM knows the configuration")

    async def owner(self, data_centre: DataCentreId) -> DaemonPlan:
        """Return the owner of a data centre, as one of its entry VMs tells it.

        Without an answer that names the owner, the first entry VM stands for it.
        """
        daemons = [
            plan
            for plan in self._cell.topology.daemons
            if plan.data_centre == data_centre
        ]
        reply = await self._call("GET", "/v1/status", via=daemons[0].id)
        owner = _owner_in(reply, data_centre)
        return next((plan for plan in daemons if plan.id == owner), daemons[0])

    async def _version(self, path: ConfigPath) -> int | None:
        reply = await self._call("GET", f"/v1/config/{path}")
        if reply is None:
            return None
        if reply.status == 404:
            return 0
        if reply.status != HTTP_OK:
            return None
        return _Version.model_validate_json(reply.body).version

    async def _call(
        self,
        method: str,
        path: str,
        headers: dict[str, str] | None = None,
        body: str = "",
        via: MemberId | None = None,
    ) -> Reply | None:
        balancer = self._cell.balancer
        daemon = balancer.pick() if via is None else balancer.daemon_by_id[via]
        key = {"Authorization": f"Bearer {self._cell.operator_key}"}
        result = await self._cell.http.call(
            method, f"{daemon.url}{path}", {**key, **(headers or {})}, body.encode()
        )
        return result.value_or(None)

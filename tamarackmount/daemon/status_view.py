"""The fleet as one member sees it, for operators."""

from pydantic import BaseModel

from tamarackmount.ids import DataCentreId, Epoch, Instant, MemberId, Offset
from tamarackmount.kernel.membership import MemberState
from tamarackmount.kernel.node import Node
from tamarackmount.units import MS_PER_SECOND


class LogStatus(BaseModel):
    """The log as this member reaches it; ages in milliseconds, null if never read.

    ``config_age_ms`` is how old the configuration may be here, counting what peers
    know.
    """

    is_fresh: bool
    age_ms: int | None
    config_age_ms: int | None
    config_offset: Offset


class DataCentreStatus(BaseModel):
    """A data centre: its owner as last told, and its members by state."""

    owner: MemberId
    epoch: Epoch
    is_heard: bool
    members: dict[MemberId, MemberState]


class WorkStatus(BaseModel):
    """Work at this member: its callers' requests and the job records it holds."""

    requests_waiting: int
    requests_in_flight: int
    jobs_held: int


class StatusView(BaseModel):
    """Everything that ``/v1/status`` tells.

    ``not_known`` names what this member can't know now.
    """

    member: MemberId
    data_centre: DataCentreId
    state: str
    is_owner: bool
    log: LogStatus
    work: WorkStatus
    data_centres: dict[DataCentreId, DataCentreStatus]
    not_known: list[str]


def status_of(node: Node, now: Instant) -> StatusView:
    """Return the status of a node."""
    data_centres = {
        name: _data_centre(node, name, now) for name in node.membership.data_centres()
    }
    return StatusView(
        member=node.member.id,
        data_centre=node.member.data_centre,
        state=_state(node),
        is_owner=node.ownership.is_owner,
        log=_log(node, now),
        work=WorkStatus(
            requests_waiting=node.requests.table.waiting,
            requests_in_flight=node.requests.table.in_flight,
            jobs_held=node.jobs.held,
        ),
        data_centres=data_centres,
        not_known=_not_known(node, data_centres, now),
    )


def _state(node: Node) -> str:
    if node.is_draining:
        return "draining"
    return "ready" if node.is_ready else "starting"


def _log(node: Node, now: Instant) -> LogStatus:
    age_s = node.log.end_read_age_s(now)
    config_age_s = node.config_age_s(now)
    known = config_age_s != float("inf")
    return LogStatus(
        is_fresh=node.is_log_fresh(now),
        age_ms=None if age_s is None else int(age_s * MS_PER_SECOND),
        config_age_ms=int(config_age_s * MS_PER_SECOND) if known else None,
        config_offset=node.log.config.applied,
    )


def _data_centre(node: Node, name: DataCentreId, now: Instant) -> DataCentreStatus:
    is_local = name == node.member.data_centre
    told = node.membership.reported_owner(name, now)
    states = node.membership.states_in(name, now)
    if is_local:
        states[node.member.id] = MemberState.ALIVE
    owner = node.ownership.owner if is_local else told.owner
    return DataCentreStatus(
        owner=owner or MemberId(""),
        epoch=node.ownership.epoch if is_local else told.epoch,
        is_heard=is_local or bool(node.membership.live_peers(name, now)),
        members=states,
    )


def _not_known(
    node: Node, data_centres: dict[DataCentreId, DataCentreStatus], now: Instant
) -> list[str]:
    lines = [
        f"data centre {name} is not heard: what runs there is not known"
        for name, status in data_centres.items()
        if not status.is_heard
    ]
    if not node.is_log_fresh(now):
        lines.append("the log can't be read: changes made since are not known")
    return lines

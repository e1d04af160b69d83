"""The state of the fleet as known to one member, for operators."""

from pydantic import BaseModel

from tamarackmount.ids import DataCentreId, Epoch, Instant, MemberId, Offset
from tamarackmount.kernel.membership import MemberState
from tamarackmount.kernel.node import Node
from tamarackmount.units import MS_PER_SECOND


class LogStatus(BaseModel):
    """How current this member's view of the log is.

    Ages are in milliseconds, null if the log was never read. ``age_ms`` is the time
    since this member read the end of the log. ``config_age_ms`` is the greatest
    possible age of its configuration, also counting the reads of its peers.
    """

    is_fresh: bool
    age_ms: int | None
    config_age_ms: int | None
    config_offset: Offset


class DataCentreStatus(BaseModel):
    """A data centre: its last reported owner, and the state of each member.

    ``is_heard`` is whether heartbeats from it arrive.
    """

    owner: MemberId
    epoch: Epoch
    is_heard: bool
    members: dict[MemberId, MemberState]


class WorkStatus(BaseModel):
    """Numbers of callers' requests and job records at this member."""

    requests_waiting: int
    requests_in_flight: int
    jobs_held: int


class StatusView(BaseModel):
    """Content of ``/v1/status``.

    ``not_known`` lists, as text, what this member can't determine at present.
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
    """Return the status view of a node."""
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
            jobs_held=node.jobs.record_count,
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
    is_known = config_age_s != float("inf")
    return LogStatus(
        is_fresh=node.is_log_fresh(now),
        age_ms=None if age_s is None else int(age_s * MS_PER_SECOND),
        config_age_ms=int(config_age_s * MS_PER_SECOND) if is_known else None,
        config_offset=node.log.config.applied,
    )


def _data_centre(node: Node, name: DataCentreId, now: Instant) -> DataCentreStatus:
    is_local = name == node.member.data_centre
    reported = node.membership.reported_owner(name, now)
    states = node.membership.states_in(name, now)
    if is_local:
        states[node.member.id] = MemberState.ALIVE
    owner = node.ownership.owner if is_local else reported.owner
    return DataCentreStatus(
        owner=owner or MemberId(""),
        epoch=node.ownership.epoch if is_local else reported.epoch,
        is_heard=is_local or bool(node.membership.live_peers(name, now)),
        members=states,
    )


def _not_known(
    node: Node, data_centres: dict[DataCentreId, DataCentreStatus], now: Instant
) -> list[str]:
    lines = [
        f"no heartbeats from data centre {name}: its running work is not known"
        for name, status in data_centres.items()
        if not status.is_heard
    ]
    if not node.is_log_fresh(now):
        lines.append("the log can't be read: later changes are not known")
    return lines

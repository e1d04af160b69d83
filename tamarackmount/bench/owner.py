"""Builds a node that owns its data centre, through an ownership claim in the log."""

from tamarackmount.adapters.log_schema import RecordPage, StoredRecord
from tamarackmount.bench.fleet_size import Periods
from tamarackmount.bench.synthetic_data import START_TIME, configured_node
from tamarackmount.ids import Instant, Offset
from tamarackmount.kernel.effects import AppendToLog
from tamarackmount.kernel.log_writer import AppendResult
from tamarackmount.kernel.membership import Member
from tamarackmount.kernel.node import Node

CLAIM_WITHIN_S = 5.0
"""Time within which a member alone in its data centre must have claimed, in seconds.

The member counts as alone because its peers are silent.
"""


def make_owner(members: list[Member], documents: int, periods: Periods) -> Node:
    """Return the configured node of the first member, as owner.

    It becomes owner because its peers are silent.
    """
    node = configured_node(members, documents)
    steps = round(CLAIM_WITHIN_S / periods.tick_s)
    for step in range(1, steps + 1):
        now = Instant(START_TIME + step * periods.tick_s)
        node.log_read(_empty_page(node.log.config.applied), now, now)
        for effect in node.tick(now):
            if isinstance(effect, AppendToLog):
                _append(node, effect, now)
        if node.ownership.is_owner:
            return node
    raise RuntimeError("the first member did not become owner in time")


def _append(node: Node, effect: AppendToLog, now: Instant) -> None:
    node.log_appended(AppendResult.DONE, now)
    first = node.log.config.applied
    records = [
        StoredRecord(offset=Offset(first + index), id=record.id, body=record.text)
        for index, record in enumerate(effect.records)
    ]
    page = RecordPage(
        first_offset=Offset(1),
        next_offset=Offset(first + len(records)),
        records=records,
    )
    node.log_read(page, now, now)


def _empty_page(position: Offset) -> RecordPage:
    return RecordPage(first_offset=Offset(1), next_offset=position, records=[])

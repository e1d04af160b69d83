"""Tells other nodes of evacuations of data centres; see ``EvacuationWatch``."""

import logging
from collections.abc import Sequence

from tamarackmount.ids import MemberId
from tamarackmount.node.context import NodeContext
from tamarackmount.node.messages import EvacuationSeen
from tamarackmount.scheduling.membership.evacuations import EvacuationChange

_log = logging.getLogger(__name__)


def send_evacuations(
    context: NodeContext, node: MemberId, changes: Sequence[EvacuationChange]
) -> None:
    """Tell another node of changes, as far as this is possible.

    A notice is best effort: an error is logged and never raised, as the other node
    reads the store too.
    """
    for change in changes:
        message = EvacuationSeen(change.data_centre, change.offset, change.is_evacuated)
        try:
            context.links.send(node, message)
        except Exception:
            extra = {"to": node, "offset": change.offset}
            _log.exception("evacuation notice not sent", extra=extra)

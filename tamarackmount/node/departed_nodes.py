"""Removal of the registrations of entry VMs that left, by the holder."""

import logging
from collections.abc import Callable

from twisted.internet.task import LoopingCall

from tamarackmount.ids import Instant, MemberId
from tamarackmount.node.context import NodeContext
from tamarackmount.node.node_registry import NODES_TOPIC, NodeRegistry
from tamarackmount.node.tasks import spawn, stop_process_on_error
from tamarackmount.platform.store import Appended, KeyedRecord
from tamarackmount.scheduling.membership.departures import (
    MAX_REMOVALS,
    Departures,
    RegisteredNode,
)

CHECK_INTERVAL_S = 10.0
"""Interval between two checks, in seconds; each removes a bounded number of
registrations with at most one append."""

REMOVE_TIMEOUT_S = 1.0
"""Timeout of the append that removes registrations, in seconds."""

_log = logging.getLogger(__name__)


class DepartedNodes:
    """Removes registrations while this node is the holder.

    A node whose registration was removed although it runs registers again (see
    ``NodeRegistry``).
    """

    def __init__(
        self,
        context: NodeContext,
        registry: NodeRegistry,
        is_holder: Callable[[], bool],
    ) -> None:
        """Prepare; nothing is done before :meth:`start`."""
        self._context = context
        self._registry = registry
        self._is_holder = is_holder
        self._departures = Departures()
        self._checks = LoopingCall(stop_process_on_error(self._check))
        self._checks.clock = context.reactor

    def start(self) -> None:
        """Start the checks."""
        self._checks.start(CHECK_INTERVAL_S, now=False)

    def _check(self) -> None:
        if not self._is_holder():
            self._departures.clear()
            return
        context = self._context
        now = Instant(context.reactor.seconds())
        nodes = [
            RegisteredNode(row.node, row.data_centre, context.links.is_open(row.node))
            for row in self._registry.candidates()
            if row.node != context.node_id
        ]
        removed = self._departures.update(nodes, context.settings.data_centre, now)
        if removed:
            spawn(self._remove(removed))

    async def _remove(self, nodes: list[MemberId]) -> None:
        deadline = Instant(self._context.reactor.seconds() + REMOVE_TIMEOUT_S)
        records = [KeyedRecord(node, b"") for node in nodes]
        result = await self._context.store.append(NODES_TOPIC, records, deadline)
        _log.info(
            "node registrations removed",
            extra={
                "nodes": nodes,
                "stored": isinstance(result, Appended),
                "limit": MAX_REMOVALS,
            },
        )

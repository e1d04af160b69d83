"""Decide which registered entry VMs have left for good."""

from collections.abc import Sequence
from dataclasses import dataclass

from tamarackmount.ids import DataCentreId, Instant, MemberId

REMOVE_AFTER_S = 300.0
"""Time for which a node has to be unreachable, in seconds: longer than the replacement
of a VM and than most disturbances of a network."""

REMOVE_ALONE_AFTER_S = 3_600.0
"""The same while no node of its data centre is reachable, in seconds: the data centre
is probably cut off, and its nodes return together."""

MAX_REMOVALS = 2
"""Maximum number of nodes that are removed at a time."""

MAX_CHECK_GAP_S = 30.0
"""Time between two checks beyond which this process was paused, in seconds: what it
knew of the others before is no longer used."""

MIN_REACHABLE_FRACTION = 0.5
"""Part of the other nodes that has to be reachable for a removal, without unit; with
less, this node may be the one that is cut off."""


@dataclass(frozen=True, slots=True)
class RegisteredNode:
    """A registered node other than this one, and whether it is reachable now."""

    node: MemberId
    data_centre: DataCentreId
    is_reachable: bool


class Departures:
    """Since when each registered node has been unreachable."""

    def __init__(self) -> None:
        """Begin without observations."""
        self._since_by_node: dict[MemberId, Instant] = {}
        self._checked_at: Instant | None = None

    def clear(self) -> None:
        """Drop all observations."""
        self._since_by_node.clear()
        self._checked_at = None

    def update(
        self, nodes: Sequence[RegisteredNode], own: DataCentreId, now: Instant
    ) -> list[MemberId]:
        """Record what is reachable; return the nodes to remove, in order.

        ``own`` is the data centre of this node.
        """
        if self._checked_at is not None and now > self._checked_at + MAX_CHECK_GAP_S:
            self._since_by_node.clear()
        self._checked_at = now
        unreachable = [row for row in nodes if not row.is_reachable]
        self._since_by_node = {
            row.node: self._since_by_node.get(row.node, now) for row in unreachable
        }
        if len(nodes) - len(unreachable) < MIN_REACHABLE_FRACTION * len(nodes):
            return []
        reached = {row.data_centre for row in nodes if row.is_reachable} | {own}
        departed = [
            row.node
            for row in unreachable
            if now - self._since_by_node[row.node]
            >= (REMOVE_AFTER_S if row.data_centre in reached else REMOVE_ALONE_AFTER_S)
        ]
        departed.sort(key=lambda node: (self._since_by_node[node], node))
        return departed[:MAX_REMOVALS]

"""Deciding whether a VM with more processor time should be the holder.

Load pattern: all large VMs are lost for a moment, and a small one becomes the holder.
Its processor time does not suffice for the orders of a whole fleet. The same holds for
a large VM that becomes several times slower.
"""

import logging
from dataclasses import dataclass
from typing import Any

from twisted.internet.defer import ensureDeferred, gatherResults

from tamarackmount.ids import Instant, MemberId
from tamarackmount.node import clock
from tamarackmount.node.context import NodeContext
from tamarackmount.node.holder_probe import PROBE_TIMEOUT_S, store_reader
from tamarackmount.node.messages import StoreAgeReply
from tamarackmount.node.node_registry import NodeRegistry
from tamarackmount.scheduling.membership.holder_watch import Candidate

CHECK_INTERVAL_S = 1.0
"""Interval between two checks whether a larger VM should be the holder, in seconds; a
VM that has just started is connected within it."""

SLOW_CHECK_INTERVAL_S = 0.3
"""The same on a slow VM, in seconds."""

SLOW_PROBE_TIMEOUT_S = 1.0
"""Timeout of the question to other VMs on a slow one, in seconds: it reads the answers
late."""

LARGER_VM_FACTOR = 1.5
"""Ratio of the processor times of two VMs, without unit, from which on the larger one
is worth a change of the holder."""

MAX_VMS_ASKED = 6
"""Maximum number of larger VMs that are asked at once; the store may turn some away."""

SLOW_VM_RANKS = 6
"""Number of ranks, without unit, by which a slow VM claims later: others that are not
slow come first, and it takes the role soon if there are none."""

HANDED_OVER_RANKS = 16
"""The same for a VM that has just left the role to others, the first of which may not
reach the store."""

LEAVE_ROLE_S = 3.0
"""Time for which it claims later, in seconds: release and claim take 1 s at most."""

CLAIM_FIRST_S = 0.5
"""Time for which the node that the last holder chose claims before others, in
seconds."""

PERCENT = 100

_log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class HandOverTarget:
    """A VM that should be the holder.

    ``is_urgent`` is set if this VM is slow: it can't tell a slow store from itself.
    """

    node: MemberId
    is_urgent: bool


class HandOver:
    """Looks for a VM with more processor time than this one, the holder, has now."""

    def __init__(self, context: NodeContext, registry: NodeRegistry) -> None:
        """Choose among the nodes of ``registry``."""
        self._context = context
        self._registry = registry
        self._last_check_at = Instant(float("-inf"))
        self._leaves_role_until = Instant(float("-inf"))
        self._claims_first_until = Instant(float("-inf"))
        self.is_busy = False

    def holder_started(self) -> None:
        """Leave a new holder alone for one interval."""
        self._last_check_at = clock.now()

    def is_due(self) -> bool:
        """Tell whether to look for a larger VM now."""
        is_slow = self._context.processor_speed.is_slow
        interval_s = SLOW_CHECK_INTERVAL_S if is_slow else CHECK_INTERVAL_S
        now = clock.now()
        if self.is_busy or self._context.is_draining:
            return False
        if now < self._last_check_at + interval_s:
            return False
        self._last_check_at = now
        return True

    def larger_vms(self) -> list[Candidate]:
        """Return connected VMs that have more processor time than this one now."""
        larger = [
            candidate
            for candidate in self._registry.candidates()
            if self._is_larger(candidate.cores)
            and self._context.links.is_open(candidate.node)
        ]
        larger.sort(key=lambda candidate: (candidate.cores, candidate.node))
        return larger[: -MAX_VMS_ASKED - 1 : -1]

    async def choose(self, larger: list[Candidate]) -> HandOverTarget | None:
        """Return the first of some VMs that reaches the store and is not slow."""
        is_slow = self._context.processor_speed.is_slow
        timeout_s = SLOW_PROBE_TIMEOUT_S if is_slow else PROBE_TIMEOUT_S
        peers = self._context.peer_calls
        calls: list[Any] = [
            ensureDeferred(store_reader(peers, candidate.node, timeout_s))
            for candidate in larger
        ]
        replies: list[StoreAgeReply | None] = await gatherResults(calls)
        for candidate, reply in zip(larger, replies, strict=True):
            if reply is None:
                continue
            slowdown = max(1.0, reply.slowdown_percent / PERCENT)
            if self._is_larger(candidate.cores / slowdown):
                return HandOverTarget(candidate.node, is_slow)
        return None

    def claim_rank(self, rank: int) -> int:
        """Return the rank with which this node claims a vacant role.

        It is later if this VM is slow, or has just left the role to another one; the
        one to which the role was left comes first.
        """
        if clock.now() < self._claims_first_until:
            return 0
        if clock.now() < self._leaves_role_until:
            return rank + HANDED_OVER_RANKS
        return rank + SLOW_VM_RANKS * self._context.processor_speed.is_slow

    def chosen(self) -> None:
        """Claim before others for a while: the last holder chose this node."""
        self._claims_first_until = Instant(clock.now() + CLAIM_FIRST_S)

    def start(self, target: HandOverTarget) -> None:
        """Leave the role to another VM for a while, and log that."""
        self._leaves_role_until = Instant(clock.now() + LEAVE_ROLE_S)
        slowdown = self._context.processor_speed.slowdown
        extra = {"to": target.node, "slowdown": round(slowdown, 1)}
        _log.info("holder role handed over", extra=extra)

    def _is_larger(self, cores: float) -> bool:
        speed = self._context.processor_speed
        own_cores = self._context.settings.processor_cores
        if speed.is_slow:
            own_cores /= speed.slowdown
        return cores >= LARGER_VM_FACTOR * own_cores

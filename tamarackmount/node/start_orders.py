"""Sends start orders to workers, a few at a time to each."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from tamarackmount.ids import Epoch, Instant
from tamarackmount.node import clock
from tamarackmount.node.tasks import spawn
from tamarackmount.platform.workers import WorkerCalls
from tamarackmount.scheduling.domain.effects import StartRun
from tamarackmount.scheduling.domain.model import WorkerIncarnation
from tamarackmount.scheduling.domain.worker_reports import (
    OrderReply,
    OrderResult,
    StartOrder,
)

ORDER_TIMEOUT_S = 0.2
"""Timeout of an order to a worker, in seconds. Round trips take 3 to 10 ms, and urgent
jobs have 0.5 s to spare."""

MAX_STARTS_PER_WORKER = 3
"""Maximum number of concurrent starts per worker; more would open more connections than
they save."""


@dataclass(slots=True)
class _Queue:
    """The start orders of one worker.

    ``is_sending`` is set while a loop takes orders from ``waiting``. An order that is
    settled meanwhile leaves its turn to that loop: settled in a chain of calls, some
    hundred orders that must not be sent exceed the interpreter's recursion limit.
    """

    waiting: deque[StartRun] = field(default_factory=deque)
    in_flight: int = 0
    is_sending: bool = False


class StartOrders:
    """Start orders that wait for their turn at their worker.

    The process may be suspended while they wait. So each one is sent only if the holder
    may still send it at that moment, and again once there is a connection.
    """

    def __init__(
        self,
        workers: WorkerCalls,
        epoch: Epoch,
        may_send: Callable[[StartOrder], bool],
        on_reply: Callable[[StartOrder, OrderReply], None],
    ) -> None:
        """Send orders under ``epoch``; call ``on_reply`` once for each.

        ``may_send`` tells whether the holder may send an order now.
        """
        self._workers = workers
        self._epoch = epoch
        self._may_send = may_send
        self._on_reply = on_reply
        self._queue_by_worker: dict[WorkerIncarnation, _Queue] = {}

    def send(self, effect: StartRun) -> None:
        """Send an order when it is its turn."""
        incarnation = effect.order.incarnation
        queue = self._queue_by_worker.setdefault(incarnation, _Queue())
        queue.waiting.append(effect)
        self._send_waiting(incarnation, queue)

    def _send_waiting(self, incarnation: WorkerIncarnation, queue: _Queue) -> None:
        if queue.is_sending:
            return
        queue.is_sending = True
        while queue.waiting and queue.in_flight < MAX_STARTS_PER_WORKER:
            queue.in_flight += 1
            spawn(self._send_now(queue.waiting.popleft(), queue))
        queue.is_sending = False
        if not queue.waiting and not queue.in_flight:
            self._queue_by_worker.pop(incarnation, None)

    async def _send_now(self, effect: StartRun, queue: _Queue) -> None:
        reply = OrderReply(OrderResult.NOT_SENT)
        order = effect.order
        if self._may_send(order):
            deadline = Instant(clock.now() + ORDER_TIMEOUT_S)
            reply = await self._workers.start(
                effect.address,
                order,
                self._epoch,
                deadline,
                lambda: self._may_send(order),
            )
        queue.in_flight -= 1
        self._on_reply(order, reply)
        self._send_waiting(order.incarnation, queue)

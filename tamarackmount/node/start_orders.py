"""Sends start orders to workers, a few at a time to each."""

from collections.abc import Callable, Iterable

from twisted.internet.defer import DeferredSemaphore

from tamarackmount.ids import Epoch, Instant
from tamarackmount.node import clock
from tamarackmount.node.tasks import spawn
from tamarackmount.platform.workers import WorkerCalls
from tamarackmount.scheduling.domain.effects import StartRun
from tamarackmount.scheduling.domain.model import WorkerIncarnation
from tamarackmount.scheduling.domain.worker_reports import OrderResult, StartOrder

ORDER_TIMEOUT_S = 0.2
"""Timeout of an order to a worker, in seconds. Round trips take 3 to 10 ms, and urgent
jobs have 0.5 s to spare."""

MAX_STARTS_PER_WORKER = 3
"""Maximum number of concurrent starts per worker; more would open more connections than
they save."""


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
        on_result: Callable[[StartOrder, OrderResult], None],
    ) -> None:
        """Send orders under ``epoch``; call ``on_result`` once for each.

        ``may_send`` tells whether the holder may send an order now.
        """
        self._workers = workers
        self._epoch = epoch
        self._may_send = may_send
        self._on_result = on_result
        self._turns_by_worker: dict[WorkerIncarnation, DeferredSemaphore] = {}

    def send(self, effect: StartRun) -> None:
        """Send an order when it is its turn."""
        incarnation = effect.order.incarnation
        turns = self._turns_by_worker.get(incarnation)
        if turns is None:
            turns = DeferredSemaphore(MAX_STARTS_PER_WORKER)
            self._turns_by_worker[incarnation] = turns
        turns.run(lambda: spawn(self._send_now(effect)))

    def forget_others(self, registered: Iterable[WorkerIncarnation]) -> None:
        """Forget the workers that are not registered."""
        for incarnation in self._turns_by_worker.keys() - set(registered):
            del self._turns_by_worker[incarnation]

    async def _send_now(self, effect: StartRun) -> None:
        result = OrderResult.NOT_SENT
        order = effect.order
        if self._may_send(order):
            deadline = Instant(clock.now() + ORDER_TIMEOUT_S)
            result = await self._workers.start(
                effect.address,
                order,
                self._epoch,
                deadline,
                lambda: self._may_send(order),
            )
        self._on_result(order, result)

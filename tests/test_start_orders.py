"""Start orders that wait for their turn while the holder's authority ends."""

from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred

from tamarackmount.ids import Epoch
from tamarackmount.node.start_orders import MAX_STARTS_PER_WORKER, StartOrders
from tamarackmount.scheduling.domain.effects import StartRun
from tamarackmount.scheduling.domain.model import TaskKey
from tamarackmount.scheduling.domain.worker_reports import OrderResult, StartOrder
from tests.utils.build_scheduling import incarnation, job

ORDERS = MAX_STARTS_PER_WORKER + 2


class Workers:
    """Workers that answer when the test says so."""

    def __init__(self) -> None:
        """Begin without calls."""
        self.calls: list[Deferred[OrderResult]] = []
        self.permissions: list[Callable[[], bool]] = []

    def start(self, *arguments: Any) -> "Deferred[OrderResult]":
        self.permissions.append(arguments[-1])
        self.calls.append(Deferred())
        return self.calls[-1]


class Harness:
    """Start orders to one worker, under an authority that may end."""

    def __init__(self) -> None:
        """Send more orders than one worker gets at a time."""
        self.workers = Workers()
        self.may_start = True
        self.results: list[OrderResult] = []
        workers: Any = self.workers
        self.orders = StartOrders(
            workers,
            Epoch(3),
            lambda _: self.may_start,
            lambda _, result: self.results.append(result),
        )
        for index in range(ORDERS):
            task = TaskKey(job().job_id, 0, 0, index)
            order = StartOrder(incarnation(), task, 1, "text", 1_000)
            self.orders.send(StartRun("w1:1", order))

    def answer_all(self) -> None:
        """Let the worker carry out the orders that it has."""
        for call in [call for call in self.workers.calls if not call.called]:
            call.callback(OrderResult.DONE)


def test_orders_that_wait_are_sent_in_turn() -> None:
    harness = Harness()
    assert len(harness.workers.calls) == MAX_STARTS_PER_WORKER
    harness.answer_all()
    harness.answer_all()
    assert harness.results == [OrderResult.DONE] * ORDERS


def test_orders_that_waited_are_not_sent_once_the_authority_has_ended() -> None:
    harness = Harness()
    # The process is suspended here, and another node becomes the holder.
    harness.may_start = False
    harness.answer_all()
    assert len(harness.workers.calls) == MAX_STARTS_PER_WORKER
    assert harness.results.count(OrderResult.NOT_SENT) == 2


def test_an_order_that_is_being_connected_asks_again_for_the_authority() -> None:
    harness = Harness()
    permissions = harness.workers.permissions
    assert all(may_send() for may_send in permissions)
    harness.may_start = False
    assert not any(may_send() for may_send in permissions)

"""Start orders that wait for their turn while the holder's authority ends."""

import sys
from collections.abc import Callable
from typing import Any

import pytest
from twisted.internet.defer import Deferred, succeed

from tamarackmount.ids import Epoch
from tamarackmount.node.start_orders import MAX_STARTS_PER_WORKER, StartOrders
from tamarackmount.resources import Resources
from tamarackmount.scheduling.domain.effects import StartRun
from tamarackmount.scheduling.domain.model import TaskKey
from tamarackmount.scheduling.domain.worker_reports import (
    OrderReply,
    OrderResult,
    StartOrder,
)
from tamarackmount.scheduling.membership.holder_authority import HolderAuthority
from tests.utils.build_scheduling import (
    SchedulerHarness,
    incarnation,
    job,
    step,
    worker_entry,
)

ORDERS = MAX_STARTS_PER_WORKER + 2

MANY_ORDERS = 2 * sys.getrecursionlimit()
"""More orders than calls can be nested."""

Scheduled = Callable[[SchedulerHarness], None]


class Workers:
    """Workers that answer when the test says so."""

    def __init__(self) -> None:
        """Begin without calls."""
        self.calls: list[Deferred[OrderReply]] = []
        self.permissions: list[Callable[[], bool]] = []

    def start(self, *arguments: Any) -> "Deferred[OrderReply]":
        self.permissions.append(arguments[-1])
        self.calls.append(Deferred())
        return self.calls[-1]


class Harness:
    """Start orders to one worker, under an authority that may end."""

    def __init__(self, orders: int = ORDERS) -> None:
        """Send more orders than one worker gets at a time."""
        self.workers = Workers()
        self.may_start = True
        self.results: list[OrderResult] = []
        workers: Any = self.workers
        self.orders = StartOrders(
            workers,
            Epoch(3),
            lambda _: self.may_start,
            lambda _, reply: self.results.append(reply.result),
        )
        for index in range(orders):
            task = TaskKey(job().job_id, 0, 0, index)
            order = StartOrder(incarnation(), task, 1, "text", 1_000)
            self.orders.send(StartRun("w1:1", order))

    def answer_all(self) -> None:
        """Let the worker carry out the orders that it has."""
        for call in [call for call in self.workers.calls if not call.called]:
            call.callback(OrderReply(OrderResult.DONE))


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


def test_many_waiting_orders_that_may_not_be_sent_exceeded_the_recursion_limit() -> (
    None
):
    # Guards against a process that ends itself when its authority or a worker is lost
    # while orders wait.
    harness = Harness(MANY_ORDERS)
    harness.may_start = False
    harness.answer_all()
    assert len(harness.workers.calls) == MAX_STARTS_PER_WORKER
    assert harness.results.count(OrderResult.NOT_SENT) == (
        MANY_ORDERS - MAX_STARTS_PER_WORKER
    )


def test_many_orders_that_are_refused_at_once_exceeded_the_recursion_limit() -> None:
    # Guards against the same with calls that fail before anything is sent.
    harness = Harness(MANY_ORDERS)
    workers: Any = harness.workers
    workers.start = lambda *_: succeed(OrderReply(OrderResult.NOT_SENT))
    harness.answer_all()
    assert len(harness.results) == MANY_ORDERS


def lose_authority(harness: SchedulerHarness) -> None:
    harness.scheduler.set_authority(HolderAuthority.NONE)


def replace_worker(harness: SchedulerHarness) -> None:
    newer = worker_entry("w1", incarnation=incarnation("w1", born=2))
    harness.scheduler.set_registered_workers([newer], harness.now)


def shrink_worker(harness: SchedulerHarness) -> None:
    harness.scheduler.set_registered_workers([worker_entry("w1", 1)], harness.now)


def evacuate(harness: SchedulerHarness) -> None:
    data_centre = worker_entry("w1").data_centre
    harness.scheduler.set_evacuated_data_centres(frozenset({data_centre}), harness.now)


@pytest.mark.parametrize(
    "withdraw", [lose_authority, replace_worker, shrink_worker, evacuate]
)
def test_waiting_orders_ended_the_process_when(withdraw: Scheduled) -> None:
    # Guards against a chain of calls through each way in which permission is lost.
    harness = SchedulerHarness(ceiling=Resources(10**9, 10**9, 0))
    worker = worker_entry("w1", MANY_ORDERS, capacity=Resources(10**9, 10**9, 0))
    harness.register_workers(worker)
    harness.submit_job(job(1, step(MANY_ORDERS)))
    assert len(harness.starts) == MANY_ORDERS
    workers: Any = Workers()
    results: list[OrderResult] = []

    def on_reply(order: StartOrder, reply: OrderReply) -> None:
        results.append(reply.result)
        harness.scheduler.start_answered(
            order.incarnation, order.task, order.run_number, reply.result, harness.now
        )

    orders = StartOrders(workers, Epoch(7), harness.scheduler.may_send, on_reply)
    for start in harness.starts:
        orders.send(start)
    withdraw(harness)
    workers.calls[0].callback(OrderReply(OrderResult.DONE))
    assert len(results) == MANY_ORDERS - MAX_STARTS_PER_WORKER + 1
    assert len(workers.calls) == MAX_STARTS_PER_WORKER

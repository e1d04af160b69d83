"""Client of the workers: results and errors of calls to a simulated worker."""

from typing import Any

import pytest
from returns.result import Failure
from twisted.internet.defer import Deferred

from tamarackmount.adapters.worker_schema import AttemptState, CommandResult
from tamarackmount.adapters.workers import (
    StaleEpochError,
    WorkerClient,
    WorkerError,
    WorkerFault,
)
from tamarackmount.ids import Epoch
from tests.utils.build_platform_messages import (
    TASK,
    a_command,
    a_start,
    a_sync,
    a_throttle,
)
from tests.utils.memory_network import MemoryNetwork
from tests.utils.serve_platform import HOST, Served, serve_worker

TIMEOUT_S = 2.0


class Rig:
    """A worker, its client and the network between them."""

    def __init__(self) -> None:
        """Serve a worker and make a client."""
        self.network = MemoryNetwork()
        self.worker: Served = serve_worker(self.network)
        self.client = WorkerClient(self.network, TIMEOUT_S)

    def run(self, name: str, command: Any) -> Any:
        """Send a command and wait for its result."""
        send: Any = getattr(self.client, name)
        sent: Deferred[Any] = send(HOST, self.worker.port, command)
        return self.network.wait(sent)


def test_each_command_returns_the_result_of_the_worker() -> None:
    rig = Rig()
    assert rig.run("sync", a_sync()).unwrap().worker_id == "w1"
    for name, command in [
        ("start", a_start()),
        ("throttle", a_throttle(percent=50)),
        ("stop", a_command()),
    ]:
        assert rig.run(name, command).unwrap().result is CommandResult.DONE
    unknown = rig.run("checkpoint", a_command()).unwrap()
    assert unknown.result is CommandResult.UNKNOWN_TASK
    assert rig.run("sync", a_sync(forget=[TASK])).unwrap().attempts == []


def test_the_token_of_a_checkpoint_is_reported() -> None:
    rig = Rig()
    rig.run("start", a_start(run_ms=1_000))
    token = rig.run("checkpoint", a_command()).unwrap().checkpoint
    assert token
    (report,) = rig.run("sync", a_sync()).unwrap().attempts
    assert (report.state, report.checkpoint) == (AttemptState.RUNNING, token)


@pytest.mark.parametrize(
    ("name", "command"),
    [
        ("sync", a_sync(epoch=1)),
        ("start", a_start(epoch=1)),
        ("stop", a_command(epoch=1)),
        ("checkpoint", a_command(epoch=1)),
        ("throttle", a_throttle(percent=50)),
    ],
)
def test_a_stale_epoch_is_refused_with_the_highest_one(name: str, command: Any) -> None:
    rig = Rig()
    rig.run("sync", a_sync(epoch=7))
    assert rig.run(name, command) == Failure(StaleEpochError(Epoch(7)))


def test_a_command_to_a_hanging_worker_has_an_unknown_outcome() -> None:
    rig = Rig()
    rig.worker.logic.set_faults_json(b'{"mode": "hang"}')
    error = rig.run("start", a_start()).failure()
    assert isinstance(error, WorkerError)
    assert error.fault is WorkerFault.OUTCOME_UNKNOWN
    assert rig.network.seconds() == TIMEOUT_S


def test_a_refused_or_unreachable_command_has_no_effect() -> None:
    rig = Rig()
    rig.worker.logic.set_faults_json(b'{"mode": "refuse"}')
    assert rig.run("start", a_start()).failure().fault is WorkerFault.REFUSED
    gone = rig.network.wait(rig.client.start(HOST, 9, a_start())).failure()
    assert isinstance(gone, WorkerError)
    assert gone.fault is WorkerFault.UNREACHABLE

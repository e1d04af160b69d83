"""Client of the log service: results and errors of calls to the simulated log."""

from typing import Any

import pytest
from returns.result import Success

from tamarackmount.adapters.log import LogClient, LogFault
from tamarackmount.ids import Offset
from tests.utils.build_platform_messages import a_record
from tests.utils.memory_network import MemoryNetwork
from tests.utils.serve_platform import Served, serve_log

TIMEOUT_S = 2.0


class Rig:
    """A log, its client and the network between them."""

    def __init__(self, **log_arguments: Any) -> None:
        """Serve a log and connect a client to it."""
        self.network = MemoryNetwork()
        self.log: Served = serve_log(self.network, **log_arguments)
        self.client = LogClient(self.network, self.log.url, TIMEOUT_S)

    def append_fault(self) -> LogFault:
        fault: LogFault = self.append().failure().fault
        return fault

    def append(self) -> Any:
        return self.network.wait(self.client.append([a_record()]))

    def read_ids(self, start: int = 1) -> list[str]:
        page = self.network.wait(self.client.read(Offset(start), 10)).unwrap()
        return [record.id for record in page.records]


def test_an_append_returns_the_first_offset_and_can_be_read() -> None:
    rig = Rig()
    records = [a_record("a"), a_record("b")]
    assert rig.network.wait(rig.client.append(records)) == Success(Offset(1))
    assert rig.network.wait(rig.client.append([a_record("c")])) == Success(Offset(3))
    assert rig.read_ids(start=2) == ["b", "c"]


def test_a_page_shows_that_retention_dropped_records() -> None:
    rig = Rig(keep=1)
    for _ in range(3):
        rig.append()
    page = rig.network.wait(rig.client.read(Offset(1), 10)).unwrap()
    assert (page.first_offset, page.next_offset) == (3, 4)


def test_an_append_with_a_lost_response_has_an_unknown_outcome() -> None:
    rig = Rig()
    rig.log.logic.set_faults_json(b'{"lose_replies": 1}')
    assert rig.append_fault() is LogFault.OUTCOME_UNKNOWN
    assert rig.read_ids() == ["r1"]


def test_an_append_that_times_out_has_an_unknown_outcome() -> None:
    rig = Rig()
    rig.log.logic.set_faults_json(b'{"mode": "slow", "delay_ms": 60000}')
    assert rig.append_fault() is LogFault.OUTCOME_UNKNOWN
    assert rig.network.seconds() == TIMEOUT_S
    rig.log.logic.set_faults_json(b"{}")
    assert rig.read_ids() == ["r1"]


def test_an_append_refused_while_down_had_no_effect() -> None:
    rig = Rig()
    rig.log.logic.set_faults_json(b'{"mode": "down"}')
    assert rig.append_fault() is LogFault.UNAVAILABLE
    read = rig.network.wait(rig.client.read(Offset(1), 10))
    assert read.failure().fault is LogFault.UNAVAILABLE
    rig.log.logic.set_faults_json(b"{}")
    assert rig.read_ids() == []


def test_a_log_that_cannot_be_reached_is_unavailable() -> None:
    network = MemoryNetwork()
    client = LogClient(network, "http://127.0.0.1:9", TIMEOUT_S)
    error = network.wait(client.append([a_record()])).failure()
    assert error.fault is LogFault.UNAVAILABLE


def test_an_invalid_call_is_rejected() -> None:
    rig = Rig()
    error = rig.network.wait(rig.client.read(Offset(-1), 10)).failure()
    assert error.fault is LogFault.REJECTED


@pytest.mark.parametrize("count", [0, 501])
def test_an_append_of_no_or_too_many_records_raises_an_error(count: int) -> None:
    rig = Rig()
    with pytest.raises(ValueError, match="records"):
        rig.client.append([a_record()] * count)

"""Client of the VM list: results and errors of calls to the simulated list."""

from returns.result import Failure

from tamarackmount.adapters.vms import VmListClient
from tests.utils.build_platform_messages import a_vm
from tests.utils.memory_network import MemoryNetwork
from tests.utils.serve_platform import serve_upstream, serve_vm_list


def test_the_complete_list_is_fetched() -> None:
    network = MemoryNetwork()
    vm_list = serve_vm_list(network)
    vms = [a_vm("w1"), a_vm("u1", kind="upstream", service="counter", slots=8)]
    for vm in vms:
        vm_list.logic.put(network.seconds(), vm)
    client = VmListClient(network, vm_list.url)
    assert network.wait(client.fetch()).unwrap().vms == vms


def test_a_service_that_is_down_slow_or_unreachable_is_an_error() -> None:
    network = MemoryNetwork()
    vm_list = serve_vm_list(network)
    client = VmListClient(network, vm_list.url, call_timeout_s=1.0)
    vm_list.logic.set_faults_json(b'{"mode": "down"}')
    assert "refused" in network.wait(client.fetch()).failure().detail
    vm_list.logic.set_faults_json(b'{"mode": "slow", "delay_ms": 5000}')
    assert "deadline passed" in network.wait(client.fetch()).failure().detail
    assert network.seconds() == 1.0
    unreachable = VmListClient(network, "http://127.0.0.1:9")
    assert "unreachable" in network.wait(unreachable.fetch()).failure().detail


def test_a_response_that_is_no_vm_list_is_an_error() -> None:
    network = MemoryNetwork()
    client = VmListClient(network, serve_upstream(network).url)
    assert isinstance(network.wait(client.fetch()), Failure)

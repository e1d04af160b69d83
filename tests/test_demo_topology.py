"""Tests of the plan of a cell, the settings of its daemons and its ports."""

import itertools
import socket
import tomllib
from collections import Counter

from tamarackmount.adapters.vm_schema import VmKind
from tamarackmount.demo.ports import LOOPBACK, PortReservation
from tamarackmount.demo.topology import (
    DEMO_SHAPE,
    UPSTREAM_SLOTS,
    Topology,
    plan_topology,
    settings_text,
)
from tamarackmount.ids import KeyHash
from tamarackmount.settings import Settings

KEY_HASH = KeyHash("ab" * 32)


def build_topology() -> Topology:
    return plan_topology(DEMO_SHAPE, itertools.count(2_000).__next__)


def test_settings_of_every_daemon_are_valid() -> None:
    topology = build_topology()
    for daemon in topology.daemons:
        text = settings_text(topology, daemon, KEY_HASH)
        settings = Settings.model_validate(tomllib.loads(text))
        assert settings.member.id == daemon.id
        assert settings.listen.http_port == daemon.http_port
        assert settings.operators.key_sha256 == [KEY_HASH]


def test_peers_of_a_daemon_are_all_other_daemons() -> None:
    topology = build_topology()
    for daemon in topology.daemons:
        text = settings_text(topology, daemon, KEY_HASH)
        peers = Settings.model_validate(tomllib.loads(text)).peers
        others = [plan for plan in topology.daemons if plan.id != daemon.id]
        assert [(peer.id, peer.peer_port) for peer in peers] == [
            (plan.id, plan.peer_port) for plan in others
        ]


def test_demo_has_the_documented_daemons_and_upstreams() -> None:
    topology = build_topology()
    daemons = Counter(plan.data_centre for plan in topology.daemons)
    services = Counter(
        (plan.vm.data_centre, plan.vm.service) for plan in topology.upstreams
    )
    assert daemons == {"dc1": 2, "dc2": 2}
    assert set(services.values()) == {3}
    assert len(services) == 4
    assert {plan.vm.slots for plan in topology.upstreams} == {UPSTREAM_SLOTS}


def test_each_data_centre_has_two_racks_and_one_accelerated_worker() -> None:
    for data_centre in ("dc1", "dc2"):
        workers = [
            plan.vm
            for plan in build_topology().workers
            if plan.vm.data_centre == data_centre
        ]
        assert len(workers) == 4
        assert len({vm.rack for vm in workers}) == 2
        assert sum(vm.accelerators > 0 for vm in workers) == 1


def test_names_and_ports_are_unique() -> None:
    topology = build_topology()
    vms = topology.vms().vms
    ports = [plan.http_port for plan in topology.daemons]
    ports += [plan.peer_port for plan in topology.daemons]
    ports += [vm.port for vm in vms]
    assert len(set(ports)) == len(ports)
    assert len({vm.id for vm in vms}) == len(vms)
    assert {vm.kind for vm in vms} == {VmKind.UPSTREAM, VmKind.WORKER}


def test_reserved_ports_are_unique_and_can_be_listened_on() -> None:
    reservation = PortReservation()
    ports = [reservation.take() for _ in range(20)]
    assert len(set(ports)) == len(ports)
    with socket.socket() as server:
        server.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        server.bind((LOOPBACK, ports[0]))
        server.listen()
        with socket.create_connection((LOOPBACK, ports[0]), timeout=60.0):
            pass
    reservation.release()

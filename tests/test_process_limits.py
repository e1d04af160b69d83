"""The limits of connections leave room for the rest of the process."""

import orjson
import pytest

from tamarackmount.node.process_limits import RESERVED_DESCRIPTORS, process_limits
from tamarackmount.platform.boot import BootSettings, decode_boot
from tests.utils.build_platform_documents import boot_document


def settings(memory_mb: int, descriptors: int) -> BootSettings:
    limits = {
        "cpuShare": 0.5,
        "cores": 2,
        "memoryMb": memory_mb,
        "fileDescriptors": descriptors,
    }
    return decode_boot(orjson.dumps(boot_document(limits=limits))).unwrap()


@pytest.mark.parametrize(
    ("memory_mb", "descriptors"), [(300, 4_100), (256, 1_024), (120, 400), (4_000, 400)]
)
def test_connections_of_clients_used_up_the_descriptors_or_the_memory(
    memory_mb: int, descriptors: int
) -> None:
    limits = process_limits(settings(memory_mb, descriptors))
    connections = (
        limits.entry_connections
        + limits.peer_connections
        + limits.readiness_connections
        + limits.metrics_connections
    )
    assert connections <= 0.85 * (descriptors - RESERVED_DESCRIPTORS)
    assert limits.buffer_bytes + limits.peer_buffer_bytes <= memory_mb * 1_000_000 / 4


def test_a_machine_with_few_descriptors_served_nobody() -> None:
    limits = process_limits(settings(100, 100))
    assert limits.entry_connections > 0
    assert limits.peer_connections > 0

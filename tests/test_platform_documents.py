"""Test that the platform's documents are decoded and malformed ones are rejected."""

from typing import Any

import orjson
import pytest
from returns.result import Failure

from tamarackmount.ids import QueueName, RackId, WorkspaceId
from tamarackmount.internal.keys import hash_key
from tamarackmount.platform.boot import (
    DEFAULT_FILE_DESCRIPTORS,
    DEFAULT_MEMORY_BYTES,
    decode_boot,
)
from tamarackmount.platform.config import decode_fleet_config
from tamarackmount.platform.jobs import MAX_SPEC_BYTES, MAX_TASKS, decode_job
from tamarackmount.platform.workers import decode_worker
from tamarackmount.resources import Resources
from tests.utils.build_platform_documents import (
    boot_document,
    config_document,
    job_document,
    route,
    worker_document,
)


def test_decode_boot() -> None:
    settings = decode_boot(orjson.dumps(boot_document())).unwrap()
    assert settings.processor_cores == 1.0
    assert (settings.peer_port, settings.metrics_port) == (7180, 7195)
    assert settings.store_address.port == 8683
    assert settings.bounds.termination_grace_s == 6.0


@pytest.mark.parametrize(
    ("limits", "expected"),
    [
        ({}, (DEFAULT_MEMORY_BYTES, DEFAULT_FILE_DESCRIPTORS)),
        ({"memoryMb": 0, "fileDescriptors": None}, (DEFAULT_MEMORY_BYTES, 1_024)),
        ({"memoryMb": 300, "fileDescriptors": 4_100}, (300_000_000, 4_100)),
    ],
)
def test_limits_of_the_machine_were_not_read(
    limits: dict[str, Any], expected: tuple[int, int]
) -> None:
    processor = {"cpuShare": 0.5, "cores": 2}
    document = boot_document(limits={**processor, **limits})
    settings = decode_boot(orjson.dumps(document)).unwrap()
    assert (settings.memory_bytes, settings.file_descriptors) == expected


@pytest.mark.parametrize("name", ["node", "listen", "platform", "bounds", "limits"])
def test_error_names_the_missing_part_of_the_settings(name: str) -> None:
    document = boot_document()
    del document[name]
    failure = decode_boot(orjson.dumps(document))
    assert isinstance(failure, Failure)
    assert name in failure.failure()


def test_decode_fleet() -> None:
    fleet = decode_fleet_config(orjson.dumps(config_document())).unwrap()
    queue = fleet.queues_by_name[QueueName("r-1")]
    assert (queue.priority, queue.max_attempts, queue.target_ms) == (0, 4, 250)
    assert queue.advice is not None
    assert queue.advice.valid_ms == 2_000
    workspace = fleet.workspaces_by_id[WorkspaceId("retail")]
    assert workspace.ceiling == Resources(348_893, 576_232, 48)
    assert fleet.workspace_by_key[hash_key("k2")] == "retail"


def test_queue_with_the_longest_prefix_of_the_host_is_selected() -> None:
    routes = [
        route(name="r-1", pathPrefix="/a/"),
        route(name="r-2", pathPrefix="/a/b/"),
        route(name="r-3", pathPrefix="/a/b/", host="other.example"),
    ]
    fleet = decode_fleet_config(orjson.dumps(config_document(routes=routes))).unwrap()
    names = [
        queue.name if (queue := fleet.queue_for(host, path)) else None
        for host, path in (
            ("host.example", "/a/1"),
            ("host.example", "/a/b/1"),
            ("other.example", "/a/b/1"),
            ("other.example", "/a/1"),
        )
    ]
    assert names == ["r-1", "r-2", "r-3", None]


@pytest.mark.parametrize("text", [b"", b"[]", b"{}", b'{"version":"x"}', b"\xff\x00"])
def test_malformed_configuration_is_rejected(text: bytes) -> None:
    assert isinstance(decode_fleet_config(text), Failure)


@pytest.mark.parametrize("changes", [{}, {"coldRemainingMs": None}])
def test_decode_worker_is_warm_unless_it_says_otherwise(
    changes: dict[str, None],
) -> None:
    document = worker_document(**changes)
    entry = decode_worker("i-1", orjson.dumps(document)).unwrap()
    assert entry.cold_remaining_ms == 0


def test_decode_worker_reads_for_how_long_it_is_cold() -> None:
    document = worker_document(coldRemainingMs=2_500)
    entry = decode_worker("i-1", orjson.dumps(document)).unwrap()
    assert entry.cold_remaining_ms == 2_500


def test_decode_worker_takes_the_rack_from_the_last_label() -> None:
    entry = decode_worker("i-1", orjson.dumps(worker_document())).unwrap()
    assert entry.rack == RackId("r1-3")
    assert entry.labels == {"a", "r1-3"}
    assert entry.incarnation == ("i-1", 1_700_000_000_000)
    assert not entry.is_draining


@pytest.mark.parametrize(
    "changes",
    [
        {"state": "asleep"},
        {"address": 7},
        {"address": "nowhere"},
        {"labels": "a"},
        {"capacity": []},
        {"born": "yesterday"},
        {"born": True},
        {"service": None},
        {"capacity": {"cpu": "many"}},
    ],
)
def test_registration_with_an_invalid_field_is_rejected(
    changes: dict[str, Any],
) -> None:
    """Other writers may put records without a valid registration into the topic."""
    text = orjson.dumps(worker_document(**changes))
    assert isinstance(decode_worker("i-1", text), Failure)


@pytest.mark.parametrize("name", ["service", "address", "labels", "capacity", "born"])
def test_registration_without_a_required_field_is_rejected(name: str) -> None:
    document = worker_document()
    del document[name]
    assert isinstance(decode_worker("i-1", orjson.dumps(document)), Failure)


def test_decode_job_fills_in_defaults() -> None:
    job = decode_job(orjson.dumps(job_document())).unwrap()
    first, second = job.steps
    assert first.amount == Resources(500, 256, 0)
    assert second.after == (0,)
    assert second.saves_progress
    assert job.occurrences == 1


@pytest.mark.parametrize(
    "document",
    [
        [],
        {},
        {"steps": []},
        {"steps": [{}]},
        {"steps": [{"count": 0}]},
        {"steps": [{"count": "four"}]},
        {"steps": [{"count": 1, "after": [0]}]},
        {"steps": [{"count": 1, "after": [3]}]},
        {"spec": "x" * (MAX_SPEC_BYTES + 1), "steps": [{"count": 1}]},
        {"steps": [{"count": MAX_TASKS + 1}]},
        {"steps": [{"count": MAX_TASKS // 2}], "repetitions": 3},
        {"steps": [{"count": 1}], "repetitions": -1},
        {"steps": [{"count": 1, "cpu": -500}]},
        {"steps": [{"count": 1, "requestedMemoryMb": -1}]},
        {"steps": [{"count": 1, "gpu": -1}]},
        {"steps": [{"count": 1, "estimatedMs": -1}]},
        {"steps": [{"count": 1, "antiAffinity": -1}]},
    ],
)
def test_invalid_job_is_rejected(document: Any) -> None:
    assert isinstance(decode_job(orjson.dumps(document)), Failure)

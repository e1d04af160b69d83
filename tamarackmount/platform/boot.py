"""Decode the settings file that the platform writes for each process."""

import os
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import orjson
from returns.result import Failure, Result, Success

from tamarackmount.ids import DataCentreId, MemberId
from tamarackmount.platform.http import Address
from tamarackmount.platform.store import (
    DEFAULT_MAX_APPEND_BYTES,
    DEFAULT_MAX_RECORD_BYTES,
)

PATH_VARIABLE = "TAMARACKMOUNT_BOOT"
"""Name of the environment variable that holds the path of the settings file."""

DEFAULT_PATH = "/etc/tamarackmount/boot.json"
"""Path of the settings file if the environment variable is not set."""

BYTES_PER_MB = 1_000_000
"""Bytes in a megabyte of the settings file."""

DEFAULT_MEMORY_BYTES = 256 * 1024 * 1024
"""Memory that a process may use if the file sets no limit, in bytes."""

DEFAULT_FILE_DESCRIPTORS = 1_024
"""Number of descriptors that a process may open if the file sets no limit."""


@dataclass(frozen=True, slots=True)
class PlatformBounds:
    """Limits and factors that the platform sets.

    Only ``termination_grace_s``, ``lease_max_ms``, ``stop_timeout_ms`` and
    ``status_retention_s`` are used so far. The others are decoded so that a malformed
    file is refused.

    - ``termination_grace_s``: time between the signal to stop and the kill.
    - ``lease_max_ms``: longest lease of a worker.
    - ``stop_timeout_ms``: longest time that a worker takes to stop a task.
    - ``gang_timeout_ms``: how long a member of a gang waits for the others.
    - ``drain_ms``: how long a worker keeps serving after it announced a drain.
    - ``status_retention_s``: how long clients may ask for the state of a finished job.
    - ``remote_factor``: how many times longer work takes on a worker without its data.
    - ``away_notice_ms``: how long a perpetual task counts as away after a stop, that is
      as without a run through the system's own action: see ``StepSpec.may_miss``.
    - ``max_over_target_ms``: longest time that a serving task may exceed its target.
    """

    termination_grace_s: float
    lease_max_ms: int
    stop_timeout_ms: int
    gang_timeout_ms: int
    drain_ms: int
    status_retention_s: float
    remote_factor: float
    away_notice_ms: int
    max_over_target_ms: int


@dataclass(frozen=True, slots=True)
class BootSettings:
    """Settings that the platform gives to a process.

    ``processor_cores`` is the processor time that the machine provides, in cores. The
    store takes at most ``max_append_bytes`` in one append and ``max_record_bytes`` in
    one record. The process may use ``memory_bytes`` of memory and have
    ``file_descriptors`` open at once.
    ``advice_address`` is empty if the file names no advice service. ``cloud_address``
    and ``worker_heartbeat_ms`` are decoded so that a malformed file is refused, but are
    not used yet.
    """

    node: MemberId
    ip: str
    data_centre: DataCentreId
    entry_address: Address
    readiness_address: Address
    peer_port: int
    metrics_port: int
    store_address: Address
    max_append_bytes: int
    max_record_bytes: int
    advice_address: Address
    cloud_address: Address
    worker_heartbeat_ms: int
    processor_cores: float
    memory_bytes: int
    file_descriptors: int
    bounds: PlatformBounds


def settings_path() -> Path:
    """Return the path of the settings file."""
    return Path(os.environ.get(PATH_VARIABLE, DEFAULT_PATH))


def decode_boot(text: bytes) -> Result[BootSettings, str]:
    """Return the settings, or an error message if they can't be decoded."""
    try:
        return Success(_decode(orjson.loads(text)))
    except (AttributeError, KeyError, TypeError, ValueError, IndexError) as error:
        return Failure(f"invalid settings file: {type(error).__name__}: {error}")


def _decode(raw: Mapping[str, Any]) -> BootSettings:
    # The first port of the range is for peers, the last one for metrics.
    first_port, last_port = raw["internalPorts"]
    limits = raw["limits"]
    return BootSettings(
        node=MemberId(raw["node"]),
        ip=str(raw["ip"]),
        data_centre=DataCentreId(raw["zone"]),
        entry_address=Address(raw["listen"]["front"]),
        readiness_address=Address(raw["listen"]["ready"]),
        peer_port=int(first_port),
        metrics_port=int(last_port),
        store_address=Address(raw["platform"]["address"]),
        max_append_bytes=int(
            raw["platform"].get("maxCallBytes", DEFAULT_MAX_APPEND_BYTES)
        ),
        max_record_bytes=int(
            raw["platform"].get("maxRecordBytes", DEFAULT_MAX_RECORD_BYTES)
        ),
        advice_address=Address(raw.get("advice") or ""),
        cloud_address=Address(raw["cloud"]["address"]),
        worker_heartbeat_ms=int(raw["heartbeatIntervalMs"]),
        # cpuShare is a fraction of one core at the speed that ``cores`` multiplies.
        processor_cores=float(limits["cpuShare"]) * float(limits["cores"]),
        memory_bytes=_memory_bytes(limits),
        file_descriptors=int(limits.get("fileDescriptors") or DEFAULT_FILE_DESCRIPTORS),
        bounds=_decode_bounds(raw["bounds"]),
    )


def _memory_bytes(limits: Mapping[str, Any]) -> int:
    megabytes = float(limits.get("memoryMb") or 0)
    return int(megabytes * BYTES_PER_MB) or DEFAULT_MEMORY_BYTES


def _decode_bounds(raw: Mapping[str, Any]) -> PlatformBounds:
    return PlatformBounds(
        termination_grace_s=float(raw["graceS"]),
        lease_max_ms=int(raw["maxHoldMs"]),
        stop_timeout_ms=int(raw["stopTimeoutMs"]),
        gang_timeout_ms=int(raw["gangTimeoutMs"]),
        drain_ms=int(raw["drainMs"]),
        status_retention_s=float(raw["status_s"]),
        remote_factor=float(raw["remoteFactor"]),
        away_notice_ms=int(raw["noticeMs"]),
        max_over_target_ms=int(raw["harmMs"]),
    )

"""The settings file that the platform writes for each process."""

import os
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import orjson
from returns.result import Failure, Result, Success

from tamarackmount.ids import DataCentreId, MemberId
from tamarackmount.platform.http import Address

PATH_VARIABLE = "TAMARACKMOUNT_BOOT"
"""Environment variable with the path of the settings file."""

DEFAULT_PATH = "/etc/tamarackmount/boot.json"
"""Where the settings file is without that variable."""


@dataclass(frozen=True, slots=True)
class PlatformBounds:
    """Times that the platform sets.

    ``termination_grace_s`` lies between the signal to stop and the kill.
    ``lease_max_ms`` bounds a worker's lease. ``stop_timeout_ms`` is the longest that a
    worker takes to stop a task, ``gang_timeout_ms`` how long a member of a gang waits
    for the others. ``drain_ms`` is how long a worker serves on after it said that it
    drains. ``status_retention_s`` is how long the state of a finished job is asked for.
    ``remote_factor`` is how much longer work takes away from its data.
    ``away_notice_ms`` is how long a lasting task counts as away after a stop.
    ``harm_ms`` is the longest that a serving task may be over its target.
    """

    termination_grace_s: float
    lease_max_ms: int
    stop_timeout_ms: int
    gang_timeout_ms: int
    drain_ms: int
    status_retention_s: float
    remote_factor: float
    away_notice_ms: int
    harm_ms: int


@dataclass(frozen=True, slots=True)
class BootSettings:
    """What the platform tells a process about itself and its surroundings.

    ``processor_cores`` is the machine's processor time in cores.
    """

    node: MemberId
    ip: str
    data_centre: DataCentreId
    entry_address: Address
    readiness_address: Address
    peer_port: int
    metrics_port: int
    store_address: Address
    advice_address: Address
    cloud_address: Address
    worker_heartbeat_ms: int
    processor_cores: float
    bounds: PlatformBounds


def settings_path() -> Path:
    """Return where the settings file is."""
    return Path(os.environ.get(PATH_VARIABLE, DEFAULT_PATH))


def decode_boot(text: bytes) -> Result[BootSettings, str]:
    """Return the settings, or what is wrong with them."""
    try:
        return Success(_decode(orjson.loads(text)))
    except (KeyError, TypeError, ValueError, IndexError) as error:
        return Failure(f"settings: {type(error).__name__}: {error}")


def _decode(raw: Mapping[str, Any]) -> BootSettings:
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
        advice_address=Address(raw.get("advice") or ""),
        cloud_address=Address(raw["cloud"]["address"]),
        worker_heartbeat_ms=int(raw["heartbeatIntervalMs"]),
        # cpuShare is the part of a core at the speed that ``cores`` multiplies.
        processor_cores=float(limits["cpuShare"]) * float(limits["cores"]),
        bounds=_decode_bounds(raw["bounds"]),
    )


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
        harm_ms=int(raw["harmMs"]),
    )

"""Decode the documents that operators write to the store."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

import orjson
from returns.result import Failure, Result, Success

from tamarackmount.ids import DataCentreId, KeyHash, QueueName, WorkspaceId
from tamarackmount.internal.keys import hash_key
from tamarackmount.platform.decoding import DECODING_ERRORS
from tamarackmount.platform.resource_amounts import decode_resources
from tamarackmount.scheduling.domain.fleet_config import (
    AdvicePolicy,
    FleetConfig,
    Queue,
    Service,
    Workspace,
    group_by_host,
)
from tamarackmount.scheduling.domain.model import ServiceName

CONFIG_KEY = "config"
"""Key of the configuration in the operator topic."""

WAVE_PREFIX = "wave/"
"""Prefix of the keys of maintenance waves in the operator topic; they are not read
yet."""

EVACUATE_PREFIX = "evacuate/"
"""Prefix of the keys of evacuations in the operator topic; the name of a data centre
follows."""

DEFAULT_MAX_BODY_BYTES = 262_144
"""Largest request body in bytes if the configuration sets none; the platform's
default."""


@dataclass(frozen=True, slots=True)
class EvacuationRecord:
    """The data centre that a record's key evacuates.

    ``fault`` tells what is wrong with its value, or is empty. Such a record counts all
    the same: the key carries the whole request.
    """

    data_centre: DataCentreId
    fault: str = ""


def decode_evacuation(key: str, value: bytes) -> EvacuationRecord | None:
    """Return the evacuation that a record of the operator topic has, or None.

    An empty value withdraws it. A key without the name of a data centre has none.
    """
    if not key.startswith(EVACUATE_PREFIX) or key == EVACUATE_PREFIX:
        return None
    data_centre = DataCentreId(key.removeprefix(EVACUATE_PREFIX))
    if not value:
        return EvacuationRecord(data_centre)
    try:
        is_object = isinstance(orjson.loads(value), dict)
    except ValueError as error:
        return EvacuationRecord(data_centre, f"{type(error).__name__}: {error}")
    return EvacuationRecord(data_centre, "" if is_object else "not an object")


def decode_fleet_config(text: bytes) -> Result[FleetConfig, str]:
    """Return the configuration, or an error message if it can't be decoded."""
    try:
        return Success(_decode(orjson.loads(text)))
    except DECODING_ERRORS as error:
        return Failure(f"{type(error).__name__}: {error}")


def _decode(raw: Mapping[str, Any]) -> FleetConfig:
    queues = {
        QueueName(row["name"]): _decode_queue(row) for row in raw.get("routes", ())
    }
    workspaces = [_decode_workspace(row) for row in raw.get("tenants", ())]
    return FleetConfig(
        version=int(raw["version"]),
        queues_by_name=queues,
        workspaces_by_id={
            workspace.workspace_id: workspace for workspace in workspaces
        },
        workspace_by_key=_decode_keys(raw),
        services_by_name={
            ServiceName(row["name"]): Service(
                ServiceName(row["name"]), bool(row.get("rejectsOverload", False))
            )
            for row in raw.get("services", ())
        },
        max_body_bytes=int(
            raw.get("limits", {}).get("maxBodyBytes", DEFAULT_MAX_BODY_BYTES)
        ),
        queues_by_host=group_by_host(queues),
    )


def _decode_queue(row: Mapping[str, Any]) -> Queue:
    return Queue(
        name=QueueName(row["name"]),
        host=str(row["host"]),
        prefix=str(row["pathPrefix"]),
        service=ServiceName(row["service"]),
        priority=int(row.get("priority", 0)),
        max_attempts=int(row.get("maxAttempts", 1)),
        stretch=float(row.get("stretch", 1.0)),
        # A job's target duration is ``stretch`` times its longest chain of work,
        # plus targetLatencyMs.
        target_ms=int(row.get("targetLatencyMs", 0)),
        is_public=bool(row.get("public", False)),
        advice=_decode_advice(row.get("advice")),
    )


def _decode_advice(row: Mapping[str, Any] | None) -> AdvicePolicy | None:
    if not row:
        return None
    return AdvicePolicy(
        decision_ms=float(row["decisionMs"]),
        per_worker_ms=float(row["perWorkerMs"]),
        valid_ms=float(row["validityMs"]),
    )


def _decode_workspace(row: Mapping[str, Any]) -> Workspace:
    return Workspace(
        workspace_id=WorkspaceId(row["name"]),
        weight=float(row.get("weight", 1.0)),
        ceiling=decode_resources(row.get("maximum") or {}),
    )


def _decode_keys(raw: Mapping[str, Any]) -> dict[KeyHash, WorkspaceId]:
    return {
        hash_key(key): WorkspaceId(row["name"])
        for row in raw.get("tenants", ())
        for key in row.get("apiKeys", ())
    }

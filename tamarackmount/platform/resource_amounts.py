"""Amounts of room as the platform writes them."""

from collections.abc import Mapping
from typing import Any

from tamarackmount.resources import Resources


def decode_resources(row: Mapping[str, Any]) -> Resources:
    """Return an amount; ``cpu`` is in thousandths of a core on the wire."""
    return Resources(
        millicores=int(row.get("cpu", 0)),
        memory_mib=int(row.get("requestedMemoryMb", 0)),
        accelerators=int(row.get("gpu", 0)),
    )

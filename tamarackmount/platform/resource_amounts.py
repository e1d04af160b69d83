"""Decode the resource amounts in the platform's documents."""

from collections.abc import Mapping
from typing import Any

from tamarackmount.resources import Resources


def decode_resources(row: Mapping[str, Any]) -> Resources:
    """Return the amounts in a document; its ``cpu`` is in thousandths of a core."""
    return Resources(
        millicores=int(row.get("cpu", 0)),
        memory_mib=int(row.get("requestedMemoryMb", 0)),
        accelerators=int(row.get("gpu", 0)),
    )

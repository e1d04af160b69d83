"""Where processes listen."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Address:
    """Where a process listens: an IP number and a port."""

    host: str
    port: int

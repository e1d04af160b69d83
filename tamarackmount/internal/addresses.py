"""Addresses that processes listen on."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Address:
    """An address that a process listens on: an IP address and a port."""

    host: str
    port: int

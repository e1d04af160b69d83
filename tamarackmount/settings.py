"""Settings of one ``tamarackmountd`` process, read from a TOML file."""

from pathlib import Path
from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field

from tamarackmount.documents import NAME_PATTERN
from tamarackmount.ids import DataCentreId, KeyHash, MemberId

HashText = Annotated[KeyHash, Field(pattern=r"^[0-9a-f]{64}$")]
"""The SHA-256 hash of a key, as 64 hexadecimal digits."""


class _Section(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True, strict=True)


class MemberSection(_Section):
    """Id and data centre of this member."""

    id: MemberId = Field(pattern=NAME_PATTERN)
    data_centre: DataCentreId = Field(pattern=NAME_PATTERN)


class ListenSection(_Section):
    """Addresses that this member listens on; ``host`` is an IP address."""

    host: str
    http_port: int = Field(ge=1, le=65_535)
    peer_port: int = Field(ge=1, le=65_535)


class PlatformSection(_Section):
    """URLs and polling periods of the platform's services."""

    log_url: str = Field(pattern=r"^http://")
    vms_url: str = Field(pattern=r"^http://")
    log_poll_ms: int = Field(default=500, ge=50, le=10_000)
    vms_poll_ms: int = Field(default=1_000, ge=50, le=10_000)


class PeerSection(_Section):
    """Another member of the fleet."""

    id: MemberId = Field(pattern=NAME_PATTERN)
    data_centre: DataCentreId = Field(pattern=NAME_PATTERN)
    host: str
    peer_port: int = Field(ge=1, le=65_535)


class OperatorSection(_Section):
    """The operators' keys, of which only the hashes are stored."""

    key_sha256: list[HashText] = Field(min_length=1)


class TimingSection(_Section):
    """Periods, leases and time limits, in milliseconds.

    - ``heartbeat_ms``: period of the heartbeats within a data centre.
    - ``owner_lease_ms``: silence of an owner after which another member may claim
      ownership.
    - ``clock_margin_ms``: maximum drift between two clocks during a lease or ticket.
    - ``worker_sync_ms``: period of an owner's syncs with each of its workers.
    - ``task_lease_ms``: how long a task may run after the sync that last renewed its
      lease.
    - ``max_ticket_ms``: maximum duration of a loan of an upstream's slot, and so of
      one attempt of a request.
    - ``attempt_memory_ms``: how long a non-idempotent attempt is recorded after its
      last change, so that a repeat of the request is recognised.
    - ``balancer_notice_ms``: how long new requests are still served in a planned
      stop, until the load balancer notices the stop.
    - ``drain_ms``: maximum duration of a planned stop.
    """

    heartbeat_ms: int = Field(default=250, ge=20, le=10_000)
    owner_lease_ms: int = Field(default=1_500, ge=100, le=60_000)
    clock_margin_ms: int = Field(default=100, ge=0, le=10_000)
    worker_sync_ms: int = Field(default=500, ge=50, le=60_000)
    task_lease_ms: int = Field(default=4_000, ge=200, le=600_000)
    max_ticket_ms: int = Field(default=15_000, ge=1_000, le=600_000)
    attempt_memory_ms: int = Field(default=3_600_000, ge=1_000, le=86_400_000)
    balancer_notice_ms: int = Field(default=2_000, ge=0, le=600_000)
    drain_ms: int = Field(default=20_000, ge=0, le=600_000)


class TracingSection(_Section):
    """Fraction of the traces started by this member that is recorded, from 0 to 1."""

    sample_ratio: float = Field(default=0.01, ge=0, le=1)


class UpstreamSection(_Section):
    """Number of idle connections that this member keeps to each upstream."""

    idle_connections: int = Field(default=4, ge=0, le=64)


class Settings(_Section):
    """All settings of one daemon."""

    member: MemberSection
    listen: ListenSection
    platform: PlatformSection
    operators: OperatorSection
    peers: list[PeerSection] = []
    timing: TimingSection = TimingSection()
    tracing: TracingSection = TracingSection()
    upstreams: UpstreamSection = UpstreamSection()


def read_text(path: Path) -> str:
    """Return the text of a settings file; raise ``OSError`` if it can't be read."""
    return path.read_text(encoding="utf-8")

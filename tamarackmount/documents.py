"""Configuration documents of a running fleet: one TOML text under each path.

Paths are ``teams/<team>`` and ``queues/<queue>``. A document is replaced as a whole,
by compare-and-set on its version, so changing one team's rules doesn't affect the
documents of other teams.
"""

from enum import Enum

from pydantic import BaseModel, ConfigDict, Field

from tamarackmount.ids import KeyHash

NAME_PATTERN = r"^[a-z0-9][a-z0-9-]{0,62}$"
"""Pattern of the names of teams, queues and keys."""


class _Document(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True, strict=True)


class Ceiling(_Document):
    """Ceilings of one team over the whole fleet; ``None`` means no ceiling."""

    running_requests: int | None = Field(default=None, ge=0, le=1_000_000)
    running_tasks: int | None = Field(default=None, ge=0, le=1_000_000)
    cores: int | None = Field(default=None, ge=0, le=1_000_000)
    memory_gib: int | None = Field(default=None, ge=0, le=100_000_000)
    accelerators: int | None = Field(default=None, ge=0, le=1_000_000)


class Key(_Document):
    """A key of a team, of which only the hash is stored."""

    sha256: KeyHash = Field(pattern=r"^[0-9a-f]{64}$")
    revoked: bool = False


class WhenCutOff(Enum):
    """How a member treats a team while it reaches neither the log nor any peer."""

    SERVE = "serve"
    REFUSE = "refuse"


class TeamDocument(_Document):
    """One team: its share when all capacity is in use, its ceiling and its keys.

    ``share`` is a unitless weight, relative to the shares of the other teams.
    """

    share: float = Field(gt=0, le=1_000_000)
    ceiling: Ceiling = Ceiling()
    keys: dict[str, Key] = {}
    when_cut_off: WhenCutOff = Field(default=WhenCutOff.SERVE, strict=False)


class QueueDocument(_Document):
    """One queue: the upstream service behind it and how its requests are queued.

    With ``open_to_all``, requests without a key are accepted. ``policy`` is the name
    of a registered queue policy.
    """

    service: str = Field(pattern=NAME_PATTERN)
    policy: str = Field(default="waiting-time", pattern=NAME_PATTERN)
    open_to_all: bool = False
    max_waiting: int = Field(default=1_000, ge=0, le=1_000_000)
    timeout_ms: int = Field(default=10_000, ge=1, le=600_000)


Document = TeamDocument | QueueDocument
"""Any configuration document."""

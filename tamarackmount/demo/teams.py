"""The teams of a run with their keys, shares and ceilings."""

import json
import secrets
from dataclasses import dataclass, field

from tamarackmount.demo.cell import hash_key
from tamarackmount.documents import Ceiling
from tamarackmount.ids import ConfigPath, WorkspaceId

MAIN_KEY = "main"
"""Name of the key that a team's callers and jobs use."""

TEMPORARY_KEY = "temporary"
"""Name of the key that is revoked during the load."""

KEY_BYTES = 16
"""Number of random bytes in a key."""


@dataclass(frozen=True, slots=True)
class TeamPlan:
    """A team to configure; ``keys`` maps the names of its keys to the keys."""

    id: WorkspaceId
    share: float
    ceiling: Ceiling
    keys: dict[str, str]
    revoked: frozenset[str] = field(default_factory=frozenset)

    @property
    def path(self) -> ConfigPath:
        """Configuration path of the team's document."""
        return ConfigPath(f"teams/{self.id}")

    def document(self) -> str:
        """Return the team's document as TOML."""
        limits = self.ceiling.model_dump(exclude_none=True)
        lines = [f"share = {self.share}", "[ceiling]"]
        lines += [f"{name} = {limit}" for name, limit in limits.items()]
        for name, key in self.keys.items():
            lines.append(f"[keys.{name}]")
            lines.append(f'sha256 = "{hash_key(key)}"')
            lines.append(f"revoked = {json.dumps(name in self.revoked)}")
        return "\n".join([*lines, ""])


def plan_teams() -> list[TeamPlan]:
    """Return three teams with different shares and ceilings."""
    return [
        _plan_team("retail", 3.0, Ceiling()),
        _plan_team("design", 2.0, Ceiling(running_requests=60, running_tasks=100)),
        _plan_team("press", 1.0, Ceiling(running_requests=20, cores=64)),
    ]


def _plan_team(name: str, share: float, ceiling: Ceiling) -> TeamPlan:
    keys = {
        key_name: secrets.token_hex(KEY_BYTES) for key_name in (MAIN_KEY, TEMPORARY_KEY)
    }
    return TeamPlan(WorkspaceId(name), share, ceiling, keys)

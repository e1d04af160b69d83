"""Rows and totals of the capacity report's tables."""

from dataclasses import dataclass
from enum import Enum


class Role(Enum):
    """The part of the system that uses the resources."""

    EVERY_ENTRY_VM = "every entry VM"
    OWNER = "owner of a data centre, besides"
    SERVING = "entry VM that serves 1,000 requests a second, besides"
    OWNER_SERVING = "owner of 1,000 requests a second, besides"
    LOG = "the platform's log service"
    TAKEOVER = "new owner, once"
    SNAPSHOT = "the log, at each snapshot"


class Load(Enum):
    """The load at which a usage applies."""

    ALWAYS = "always"
    MEAN = "mean of a day"
    PEAK = "peak"
    PEAK_IN_ONE_DATA_CENTRE = "peak, all of it in one data centre"


@dataclass(frozen=True, slots=True)
class ResourceUsage:
    """What one item of a role uses.

    ``messages`` and ``bytes`` count those sent and received per second; ``cores`` is
    processor time per second. For roles that happen once, the three are totals.
    """

    role: Role
    load: Load
    item: str
    messages: float = 0.0
    cores: float = 0.0
    bytes: float = 0.0
    memory_bytes: float = 0.0


@dataclass(frozen=True, slots=True)
class Total:
    """Sum of the usages that apply to one node at once, compared with the budget."""

    name: str
    cores: float
    bytes: float
    memory_bytes: float
    cores_of_budget: float
    bytes_of_budget: float
    memory_of_budget: float


@dataclass(frozen=True, slots=True)
class Plan:
    """Usages of all roles, and the totals per kind of node."""

    usages: tuple[ResourceUsage, ...]
    totals: tuple[Total, ...]


@dataclass(frozen=True, slots=True)
class ProposedChange:
    """A change that is not implemented, and what its item costs a node with it.

    Both estimates, without and with the change, come from the same measured lines.
    """

    item: str
    mechanism: str
    cores_today: float
    bytes_today: float
    cores: float
    bytes: float

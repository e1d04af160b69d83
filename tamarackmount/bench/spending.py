"""Lines and sums of the capacity page's tables."""

from dataclasses import dataclass
from enum import Enum


class Role(Enum):
    """Who spends."""

    EVERY = "every entry VM"
    OWNER = "owner of a data centre, besides"
    SERVING = "entry VM that serves 1,000 requests a second, besides"
    OWNER_SERVING = "owner of 1,000 requests a second, besides"
    LOG = "the platform's log service"
    TAKEOVER = "new owner, once"
    SNAPSHOT = "the log, at each snapshot"


class Load(Enum):
    """When a line counts."""

    ALWAYS = "always"
    MEAN = "mean of a day"
    PEAK = "peak"
    PEAK_HERE = "peak, all of it in one data centre"


@dataclass(frozen=True, slots=True)
class Spending:
    """One line of the table.

    ``messages`` and ``bytes`` are those sent and received, a second; ``cores`` is
    processor time a second. Of what
    happens once they are totals.
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
    """Sum of the lines that one node bears at once, against the budget."""

    name: str
    cores: float
    bytes: float
    memory_bytes: float
    cores_of_budget: float
    bytes_of_budget: float
    memory_of_budget: float


@dataclass(frozen=True, slots=True)
class Plan:
    """What every role spends, and the sums."""

    spendings: tuple[Spending, ...]
    totals: tuple[Total, ...]


@dataclass(frozen=True, slots=True)
class Remedy:
    """A change that is not built, and what its item would cost a node with it.

    The same measured lines are used as for today's figures.
    """

    item: str
    mechanism: str
    cores_today: float
    bytes_today: float
    cores: float
    bytes: float

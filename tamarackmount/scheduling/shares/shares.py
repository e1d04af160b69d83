"""Shares of each pool's capacity that workspaces are entitled to while it is scarce.

Load pattern: a few workspaces ask for more than a pool has, one of them for several
times its usual. By order of deadlines alone, the one with most jobs gets most of the
pool. Here each gets its weighted max-min share of the dominant resource, that is the
one of which it asks for the largest fraction of the pool. What a workspace leaves idle
goes to those that ask for more.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from typing import Protocol

from tamarackmount.ids import WorkspaceId
from tamarackmount.resources import Resources
from tamarackmount.scheduling.domain.model import ServiceName

TOLERANCE = 1e-9
"""Difference of two fractions of a pool that counts as none, without unit."""

Amounts = tuple[float, float, float]
"""Processors, memory and accelerators, as fractions of a pool's capacity."""

NO_AMOUNTS: Amounts = (0.0, 0.0, 0.0)


@dataclass(frozen=True, slots=True)
class ShareRow:
    """Use of one pool by one workspace.

    Fractions of the pool's dominant resource, without unit: the part that the workspace
    is ``entitled`` to now, what it has ``used``, what it has ``lent`` of its weighted
    part and ``borrowed`` beyond it, and what is ``waiting``. ``refused`` counts jobs.
    """

    workspace: WorkspaceId
    service: ServiceName
    entitled: float
    used: float
    lent: float
    borrowed: float
    waiting: float
    refused: int


class WorkspaceShares(Protocol):
    """Tells which workspaces use more of a pool than they are entitled to."""

    def is_over_share(self, workspace: WorkspaceId, service: ServiceName) -> bool:
        """Return whether a workspace uses all that it is entitled to, or more.

        It never does while the pool has capacity for its whole demand.
        """
        ...

    def entitled(self, workspace: WorkspaceId, service: ServiceName) -> float | None:
        """Return the fraction of a pool that a workspace is entitled to, without unit.

        It is None while the pool's shares are not in force or leave its demand whole.
        """
        ...

    def rows(self) -> Sequence[ShareRow]:
        """Return a row for each pool and workspace with demand, in a stable order."""
        ...


@dataclass(frozen=True, slots=True)
class WorkspaceDemand:
    """What a workspace with a ``weight`` uses of a pool and what waits for it.

    ``used_by_urgent`` is the part of ``used`` that runs of urgent queues have.
    """

    weight: float
    used: Amounts
    used_by_urgent: Amounts
    waiting: Amounts

    @property
    def total(self) -> Amounts:
        """Used and waiting together."""
        return add(self.used, self.waiting)


@dataclass(frozen=True, slots=True)
class PoolShares:
    """The entitled parts of one pool; ``is_in_force`` only while it is scarce."""

    capacity: Resources
    is_in_force: bool
    demand_by_workspace: Mapping[WorkspaceId, WorkspaceDemand]
    entitled_by_workspace: Mapping[WorkspaceId, float]

    def exceeds(self, workspace: WorkspaceId, amounts: Amounts) -> bool:
        """Tell whether these amounts are all that a workspace is entitled to."""
        entitled = self.entitled_by_workspace.get(workspace)
        if not self.is_in_force or entitled is None:
            return False
        return max(amounts) >= entitled - TOLERANCE

    def is_limited(self, workspace: WorkspaceId) -> bool:
        """Tell whether a workspace asks for more than it is entitled to."""
        demand = self.demand_by_workspace.get(workspace)
        if demand is None or not self.is_in_force:
            return False
        entitled = self.entitled_by_workspace[workspace]
        return max(demand.total) > entitled + TOLERANCE


@dataclass(frozen=True, slots=True)
class CapacityShares:
    """The shares of all pools in one round of placement."""

    pools_by_service: Mapping[ServiceName, PoolShares] = field(default_factory=dict)
    refused_by_pool: Mapping[tuple[ServiceName, WorkspaceId], int] = field(
        default_factory=dict
    )

    def is_over_share(self, workspace: WorkspaceId, service: ServiceName) -> bool:
        """Return whether a workspace uses all that it is entitled to, or more."""
        pool = self.pools_by_service.get(service)
        demand = pool.demand_by_workspace.get(workspace) if pool else None
        if pool is None or demand is None:
            return False
        return pool.exceeds(workspace, demand.used)

    def entitled(self, workspace: WorkspaceId, service: ServiceName) -> float | None:
        """Return the fraction of a pool that a workspace is limited to, or None."""
        pool = self.pools_by_service.get(service)
        if pool is None or not pool.is_limited(workspace):
            return None
        return pool.entitled_by_workspace[workspace]

    def rows(self) -> Sequence[ShareRow]:
        """Return a row for each pool and workspace with demand, sorted by names."""
        return [
            row
            for service in sorted(self.pools_by_service)
            for row in self._rows_of(service)
        ]

    def _rows_of(self, service: ServiceName) -> list[ShareRow]:
        pool = self.pools_by_service[service]
        demands = pool.demand_by_workspace
        total_weight = sum(demand.weight for demand in demands.values())
        part = {name: demand.weight / total_weight for name, demand in demands.items()}
        used = {name: max(demand.used) for name, demand in demands.items()}
        borrowed = {name: max(0.0, used[name] - part[name]) for name in demands}
        idle = {
            name: max(0.0, part[name] - max(demand.total))
            for name, demand in demands.items()
        }
        lent_fraction = min(1.0, sum(borrowed.values()) / (sum(idle.values()) or 1.0))
        return [
            ShareRow(
                workspace=name,
                service=service,
                entitled=pool.entitled_by_workspace.get(name, max(demand.total)),
                used=used[name],
                lent=idle[name] * lent_fraction,
                borrowed=borrowed[name],
                waiting=max(demand.waiting),
                refused=self.refused_by_pool.get((service, name), 0),
            )
            for name, demand in sorted(demands.items())
        ]


@dataclass(frozen=True, slots=True)
class _Rise:
    """How fast a workspace takes each resource as the level rises by one.

    It has its whole demand at the level ``satisfied_at``.
    """

    rates: Amounts
    satisfied_at: float


def share_pool(
    capacity: Resources, demands: Mapping[WorkspaceId, WorkspaceDemand]
) -> PoolShares:
    """Return the shares of a pool; they are in force if the demand exceeds it."""
    total = NO_AMOUNTS
    for demand in demands.values():
        total = add(total, demand.total)
    if max(total) <= 1.0 + TOLERANCE:
        return PoolShares(capacity, False, demands, {})
    return PoolShares(capacity, True, demands, max_min_shares(demands))


def max_min_shares(
    demands: Mapping[WorkspaceId, WorkspaceDemand],
) -> dict[WorkspaceId, float]:
    """Return the weighted max-min share of each workspace, as a fraction of the pool.

    The shares of all rise together, by weight, until a workspace has its demand or a
    resource that it needs is used up.
    """
    rising: dict[WorkspaceId, _Rise] = {}
    for name, demand in demands.items():
        total = demand.total
        dominant = max(total)
        if dominant > TOLERANCE:
            slope = demand.weight / dominant
            rates = (total[0] * slope, total[1] * slope, total[2] * slope)
            rising[name] = _Rise(rates, 1.0 / slope)
    shares = dict.fromkeys(demands, 0.0)
    left = [1.0, 1.0, 1.0]
    rate_sums = [sum(row.rates[index] for row in rising.values()) for index in range(3)]
    level = 0.0
    for name in sorted(rising, key=lambda name: rising[name].satisfied_at):
        while name in rising:
            waits = [
                max(0.0, left[index]) / rate if rate > TOLERANCE else float("inf")
                for index, rate in enumerate(rate_sums)
            ]
            until_satisfied = rising[name].satisfied_at - level
            rise = min(until_satisfied, *waits)
            level += rise
            left = [
                amount - rate * rise
                for amount, rate in zip(left, rate_sums, strict=True)
            ]
            ended = [name]
            if rise < until_satisfied:
                exhausted = waits.index(rise)
                ended = [
                    other for other, row in rising.items() if row.rates[exhausted] > 0.0
                ] or [name]
            for other in ended:
                shares[other] = level * demands[other].weight
                row = rising.pop(other)
                rate_sums = [
                    total - rate
                    for total, rate in zip(rate_sums, row.rates, strict=True)
                ]
    return shares


def fractions(amount: Resources, capacity: Resources, count: int = 1) -> Amounts:
    """Return ``count`` times an amount as fractions of a capacity.

    A resource that the pool lacks counts as none: steps that need it fit nowhere.
    """
    return (
        amount.millicores * count / capacity.millicores if capacity.millicores else 0.0,
        amount.memory_mib * count / capacity.memory_mib if capacity.memory_mib else 0.0,
        amount.accelerators * count / capacity.accelerators
        if capacity.accelerators
        else 0.0,
    )


def add(first: Amounts, second: Amounts) -> Amounts:
    """Return the sum of two amounts."""
    return first[0] + second[0], first[1] + second[1], first[2] + second[2]


def subtract(first: Amounts, second: Amounts) -> Amounts:
    """Return the first amount less the second."""
    return first[0] - second[0], first[1] - second[1], first[2] - second[2]

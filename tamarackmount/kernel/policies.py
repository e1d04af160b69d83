"""The policies that a scheduler follows, by their names."""

from dataclasses import dataclass

from tamarackmount.job_spec import JobKind
from tamarackmount.plugins import (
    job_order_fifo,
    job_order_shares,
    placement_best_fit,
    placement_first_fit,
    placement_spread,
)
from tamarackmount.plugins.job_order import JOB_ORDERS, JobOrder
from tamarackmount.plugins.placement import PLACEMENT_POLICIES, PlacementPolicy

BUILT_IN = (
    job_order_fifo,
    job_order_shares,
    placement_best_fit,
    placement_first_fit,
    placement_spread,
)
"""Modules that register themselves when they are imported."""


@dataclass(frozen=True, slots=True)
class PolicyNames:
    """Names of the registered policies to use."""

    job_order: str = "shares"
    service: str = "spread-racks"
    batch: str = "best-fit"
    gang: str = "best-fit"


class Policies:
    """The policies behind the names; an unknown name raises ``ValueError``."""

    def __init__(self, names: PolicyNames) -> None:
        """Look the names up."""
        self.job_order: JobOrder = _job_order(names.job_order)
        self.placement_by_kind: dict[JobKind, PlacementPolicy] = {
            JobKind.SERVICE: _placement(names.service),
            JobKind.BATCH: _placement(names.batch),
            JobKind.GANG: _placement(names.gang),
        }


def _job_order(name: str) -> JobOrder:
    order = JOB_ORDERS.get(name).value_or(None)
    if order is None:
        raise ValueError(f"no job order is called {name!r}")
    return order


def _placement(name: str) -> PlacementPolicy:
    policy = PLACEMENT_POLICIES.get(name).value_or(None)
    if policy is None:
        raise ValueError(f"no placement policy is called {name!r}")
    return policy

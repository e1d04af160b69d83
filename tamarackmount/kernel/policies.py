"""Looks up the policies of a scheduler by name."""

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
"""Plug-in modules that register their policies on import."""


@dataclass(frozen=True, slots=True)
class PolicyNames:
    """Names of the policies to use: the job order, and the placement for each kind."""

    job_order: str = "shares"
    service: str = "spread-racks"
    batch: str = "best-fit"
    gang: str = "best-fit"


class Policies:
    """Policies of a scheduler."""

    def __init__(self, names: PolicyNames) -> None:
        """Look up the policies; raises ``ValueError`` for an unknown name."""
        self.job_order: JobOrder = _job_order(names.job_order)
        self.placement_by_kind: dict[JobKind, PlacementPolicy] = {
            JobKind.SERVICE: _placement(names.service),
            JobKind.BATCH: _placement(names.batch),
            JobKind.GANG: _placement(names.gang),
        }


def _job_order(name: str) -> JobOrder:
    order = JOB_ORDERS.get(name).value_or(None)
    if order is None:
        raise ValueError(f"unknown job order: {name!r}")
    return order


def _placement(name: str) -> PlacementPolicy:
    policy = PLACEMENT_POLICIES.get(name).value_or(None)
    if policy is None:
        raise ValueError(f"unknown placement policy: {name!r}")
    return policy

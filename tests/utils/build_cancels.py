"""Builders of callers who cancel jobs."""

from tamarackmount.ids import WorkspaceId
from tamarackmount.node.http_api import Canceller
from tests.utils.build_scheduling import WORKSPACE

CALLER = Canceller(WORKSPACE)
"""A caller of the workspace that the tests' jobs are from."""

STRANGER = Canceller(WorkspaceId("others"))

"""Queue rules and team limits for requests, read from the configuration."""

from collections.abc import Mapping, Sequence

from tamarackmount.ids import DataCentreId, QueueName, WorkspaceId
from tamarackmount.kernel.allowances import allowance
from tamarackmount.kernel.directory import Directory
from tamarackmount.kernel.request_queues import QueueRules, RequestLimits


def queue_rules(directory: Directory) -> Mapping[QueueName, QueueRules]:
    """Return the rules of every queue."""
    return {
        name: QueueRules(
            service=document.service,
            policy=document.policy,
            max_waiting=document.max_waiting,
        )
        for name, document in directory.queues_by_name.items()
    }


def request_limits(
    directory: Directory, data_centre: DataCentreId, all_centres: Sequence[DataCentreId]
) -> Mapping[WorkspaceId, RequestLimits]:
    """Return the share and the data centre's part of the ceiling of every team."""
    return {
        team_id: RequestLimits(
            share=document.share,
            running_requests=allowance(
                document.ceiling.running_requests, team_id, data_centre, all_centres
            ),
        )
        for team_id, document in directory.teams_by_id.items()
    }

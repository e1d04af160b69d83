"""Queues' rules, and teams' shares and ceilings for the requests of a data centre."""

from collections.abc import Mapping, Sequence

from tamarackmount.ids import DataCentreId, QueueName, TeamId
from tamarackmount.kernel.allowances import allowance
from tamarackmount.kernel.directory import Directory
from tamarackmount.kernel.request_queues import QueueRules, RequestLimits


def queue_rules(directory: Directory) -> Mapping[QueueName, QueueRules]:
    """Return how every queue is served."""
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
) -> Mapping[TeamId, RequestLimits]:
    """Return a data centre's part of what every team's document allows."""
    return {
        team_id: RequestLimits(
            share=document.share,
            running_requests=allowance(
                document.ceiling.running_requests, team_id, data_centre, all_centres
            ),
        )
        for team_id, document in directory.teams_by_id.items()
    }

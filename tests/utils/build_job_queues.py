"""Build a configuration with one public queue."""

from dataclasses import replace

from tamarackmount.scheduling.domain.fleet_config import FleetConfig, group_by_host
from tests.utils.build_channels import MAX_BODY_BYTES
from tests.utils.build_scheduling import LOW_PRIORITY, fleet_config, queue


def public_fleet() -> FleetConfig:
    """Return a configuration whose only queue is public, at the host ``h``."""
    public = queue(LOW_PRIORITY, 2, is_public=True, host="h")
    queues = {LOW_PRIORITY: public}
    return replace(
        fleet_config(),
        queues_by_name=queues,
        queues_by_host=group_by_host(queues),
        max_body_bytes=MAX_BODY_BYTES,
    )

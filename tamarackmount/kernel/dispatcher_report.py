"""Builds the views of a dispatcher's queues and upstreams.

Their types are in :mod:`tamarackmount.kernel.dispatcher_view`.
"""

from tamarackmount.ids import QueueName, UpstreamId
from tamarackmount.kernel.admission import Admission
from tamarackmount.kernel.dispatcher_view import QueueExplanation, UpstreamView
from tamarackmount.kernel.request_queues import RequestQueues
from tamarackmount.kernel.slots import SlotLedger
from tamarackmount.kernel.takeover import Takeover
from tamarackmount.kernel.upstream_health import UpstreamHealth


def explain_queue(
    queue: QueueName,
    queues: RequestQueues,
    ledger: SlotLedger,
    admission: Admission,
    takeover: Takeover,
) -> QueueExplanation | None:
    """Return why requests of a queue wait; ``None`` for an unknown queue."""
    rules = queues.rules(queue)
    if rules is None:
        return None
    request_queue = queues.queue(queue)
    waiting_by_team = request_queue.waiting_by_team()
    head = next(request_queue.heads(), None)
    return QueueExplanation(
        queue=queue,
        service=rules.service,
        policy=rules.policy,
        waiting_by_team=waiting_by_team,
        running_by_team=queues.running_by_team(queue),
        teams_at_ceiling=frozenset(filter(queues.at_ceiling, waiting_by_team)),
        next_team=None if head is None else head.request.team_id,
        usable_slots=ledger.usable_slots(rules.service),
        wait_ms=admission.wait_ms(queue),
        quarantined_until=ledger.quarantined_until,
        collecting_holdings=not takeover.is_done,
    )


def view_upstreams(
    ledger: SlotLedger, health: UpstreamHealth
) -> dict[UpstreamId, UpstreamView]:
    """Return slots, health and service time of each listed upstream."""
    return {
        upstream_id: UpstreamView(
            slots=count,
            health=health.state(upstream_id),
            service_s=health.service_s(upstream_id),
        )
        for upstream_id, count in ledger.counts().items()
    }

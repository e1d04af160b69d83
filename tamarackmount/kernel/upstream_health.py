"""Ejection of upstreams that fail or slow down, with probation.

An upstream is ejected when the moving average of its failures, or its service time
against the median of its service, is too high. After a rest that doubles with each
ejection it gets one request at a time, and is healthy again after a few answers.
At most half of a service's upstreams are ejected at once: when most fail, the cause
is likely elsewhere and the rest would be overloaded.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

from sortedcontainers import SortedList

from tamarackmount.ids import Instant, UpstreamId
from tamarackmount.kernel.deadline_heap import DeadlineHeap
from tamarackmount.kernel.request_effects import after_ms
from tamarackmount.kernel.slots import DEFAULT_SERVICE_S, ListedUpstream

FAILURE_WEIGHT = 0.2
"""Weight of one attempt in the moving average of failures."""

FAILURE_LIMIT = 0.45
"""Moving average of failures at which an upstream is ejected."""

SERVICE_TIME_WEIGHT = 0.1
"""Weight of one answer in the moving average of service times."""

SLOW_FACTOR = 4.0
"""Multiple of the service's median at which an upstream is too slow."""

SLOW_FLOOR_S = 0.02
"""Service time in seconds below which no upstream is too slow."""

MIN_SAMPLES = 10
"""Answers needed before an upstream's service time is judged."""

FORGIVING_SAMPLES = 100
"""Answers since the last ejection after which earlier ejections are forgotten."""

FIRST_REST_MS = 2_000
"""Rest after the first ejection, in milliseconds."""

LONGEST_REST_MS = 60_000
"""Longest rest, in milliseconds."""

PROBATION_ANSWERS = 3
"""Answers in a row that end probation."""

MAX_EJECTED_FRACTION = 0.5
"""Largest part of a service's upstreams that is ejected at once."""


class UpstreamHealthState(Enum):
    """Whether an upstream gets work."""

    HEALTHY = "healthy"
    EJECTED = "ejected"
    PROBATION = "probation"


LIMIT_BY_STATE: dict[UpstreamHealthState, int | None] = {
    UpstreamHealthState.HEALTHY: None,
    UpstreamHealthState.EJECTED: 0,
    UpstreamHealthState.PROBATION: 1,
}
"""Most slots that an upstream may have in use; ``None`` sets no limit."""


@dataclass(slots=True)
class _Upstream:
    service: str
    state: UpstreamHealthState = UpstreamHealthState.HEALTHY
    failure_rate: float = 0.0
    service_s: float = DEFAULT_SERVICE_S
    samples: int = 0
    ejections: int = 0
    probation_answers: int = 0
    judged_s: float | None = None


class UpstreamHealth:
    """Health and learned service time of each upstream."""

    def __init__(self) -> None:
        """Start without any upstream."""
        self._upstreams_by_id: dict[UpstreamId, _Upstream] = {}
        self._judged_by_service: dict[str, SortedList] = {}
        self._ejected_by_service: dict[str, int] = {}
        self._count_by_service: dict[str, int] = {}
        self._rests = DeadlineHeap[UpstreamId]()

    def set_upstreams(self, upstreams: Iterable[ListedUpstream]) -> None:
        """Replace the list; what was learned of upstreams that are gone is dropped."""
        listed_by_id = {upstream.id: upstream for upstream in upstreams}
        for upstream_id in list(self._upstreams_by_id):
            listed = listed_by_id.get(upstream_id)
            known = self._upstreams_by_id[upstream_id]
            if listed is None or listed.service != known.service:
                self._drop(upstream_id)
        self._count_by_service = {}
        for upstream in listed_by_id.values():
            self._upstreams_by_id.setdefault(upstream.id, _Upstream(upstream.service))
            self._count_by_service[upstream.service] = (
                self._count_by_service.get(upstream.service, 0) + 1
            )

    def state(self, upstream_id: UpstreamId) -> UpstreamHealthState:
        """Return the upstream's state; one that is not listed counts as healthy."""
        upstream = self._upstreams_by_id.get(upstream_id)
        return UpstreamHealthState.HEALTHY if upstream is None else upstream.state

    def limit(self, upstream_id: UpstreamId) -> int | None:
        """Return the most slots that the upstream may have in use."""
        return LIMIT_BY_STATE[self.state(upstream_id)]

    def service_s(self, upstream_id: UpstreamId) -> float:
        """Return the upstream's learned service time in seconds."""
        upstream = self._upstreams_by_id.get(upstream_id)
        return DEFAULT_SERVICE_S if upstream is None else upstream.service_s

    def median_s(self, service: str) -> float | None:
        """Return the median service time in seconds; ``None`` while unknown."""
        judged = self._judged_by_service.get(service)
        if not judged:
            return None
        median: float = judged[(len(judged) - 1) // 2]
        return median

    def answered(self, upstream_id: UpstreamId, service_s: float, now: Instant) -> None:
        """Learn from an answer."""
        upstream = self._upstreams_by_id.get(upstream_id)
        if upstream is None or upstream.state is UpstreamHealthState.EJECTED:
            return
        upstream.failure_rate *= 1 - FAILURE_WEIGHT
        self._learn(upstream, service_s)
        if upstream.state is UpstreamHealthState.PROBATION:
            self._count_probation(upstream)
        if self._is_slow(upstream):
            self._eject(upstream_id, upstream, now)

    def failed(self, upstream_id: UpstreamId, now: Instant) -> None:
        """Learn from a failed attempt."""
        upstream = self._upstreams_by_id.get(upstream_id)
        if upstream is None or upstream.state is UpstreamHealthState.EJECTED:
            return
        upstream.failure_rate += FAILURE_WEIGHT * (1 - upstream.failure_rate)
        on_probation = upstream.state is UpstreamHealthState.PROBATION
        if on_probation or upstream.failure_rate >= FAILURE_LIMIT:
            self._eject(upstream_id, upstream, now)

    def tick(self, now: Instant) -> list[UpstreamId]:
        """Put rested upstreams on probation and return them."""
        rested = self._rests.pop_due(now)
        for upstream_id in rested:
            upstream = self._upstreams_by_id[upstream_id]
            self._ejected_by_service[upstream.service] -= 1
            upstream.state = UpstreamHealthState.PROBATION
            upstream.probation_answers = 0
        return rested

    def _learn(self, upstream: _Upstream, service_s: float) -> None:
        weight = max(SERVICE_TIME_WEIGHT, 1 / (upstream.samples + 1))
        upstream.samples += 1
        upstream.service_s += weight * (service_s - upstream.service_s)
        if upstream.samples >= MIN_SAMPLES:
            self._judge(upstream, upstream.service_s)
        if upstream.samples >= FORGIVING_SAMPLES:
            upstream.ejections = 0

    def _judge(self, upstream: _Upstream, service_s: float | None) -> None:
        judged = self._judged_by_service.setdefault(upstream.service, SortedList())
        if upstream.judged_s is not None:
            judged.remove(upstream.judged_s)
        upstream.judged_s = service_s
        if service_s is not None:
            judged.add(service_s)

    def _is_slow(self, upstream: _Upstream) -> bool:
        median_s = self.median_s(upstream.service)
        if upstream.judged_s is None or median_s is None:
            return False
        return upstream.judged_s > max(SLOW_FLOOR_S, SLOW_FACTOR * median_s)

    def _count_probation(self, upstream: _Upstream) -> None:
        upstream.probation_answers += 1
        if upstream.probation_answers < PROBATION_ANSWERS:
            return
        upstream.state = UpstreamHealthState.HEALTHY
        upstream.failure_rate = 0.0

    def _eject(
        self, upstream_id: UpstreamId, upstream: _Upstream, now: Instant
    ) -> None:
        ejected = self._ejected_by_service.get(upstream.service, 0)
        most = MAX_EJECTED_FRACTION * self._count_by_service.get(upstream.service, 0)
        if ejected + 1 > most:
            return
        self._ejected_by_service[upstream.service] = ejected + 1
        self._judge(upstream, None)
        rest_ms = min(LONGEST_REST_MS, FIRST_REST_MS * 2**upstream.ejections)
        upstream.state = UpstreamHealthState.EJECTED
        upstream.ejections += 1
        upstream.failure_rate = 0.0
        upstream.samples = 0
        self._rests.set(upstream_id, after_ms(now, rest_ms))

    def _drop(self, upstream_id: UpstreamId) -> None:
        upstream = self._upstreams_by_id.pop(upstream_id)
        self._judge(upstream, None)
        self._rests.discard(upstream_id)
        if upstream.state is UpstreamHealthState.EJECTED:
            self._ejected_by_service[upstream.service] -= 1

"""Ejection of failing or slow upstreams, followed by probation.

An upstream is ejected when its moving average of failures is too high, or when its
service time is too high compared with the median of its service. The ejection time
doubles with each ejection. After it the upstream gets one request at a time, and is
healthy again after a few answers. At most half of a service's upstreams are ejected
at once: if most of them fail, the cause is likely elsewhere, and ejecting them would
overload the others.
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
"""Weight of one attempt in the moving average of failures, from 0 to 1."""

FAILURE_LIMIT = 0.45
"""Moving average of failures, from 0 to 1, at which an upstream is ejected."""

SERVICE_TIME_WEIGHT = 0.1
"""Weight of one answer in the moving average of service times, from 0 to 1."""

SLOW_FACTOR = 4.0
"""Multiple of the service's median service time above which an upstream is slow."""

SLOW_FLOOR_S = 0.02
"""Service time in seconds up to which no upstream counts as slow."""

MIN_SAMPLES = 10
"""Answers since its last ejection that an upstream needs to be judged by its speed.

With fewer, it is not ejected as slow and its service time does not count for the
median.
"""

EJECTION_RESET_SAMPLES = 100
"""Answers since the last ejection after which the ejection time is reset."""

BASE_EJECTION_MS = 2_000
"""Duration of the first ejection, in milliseconds."""

MAX_EJECTION_MS = 60_000
"""Longest duration of an ejection, in milliseconds."""

PROBATION_ANSWERS = 3
"""Answers that end probation."""

MAX_EJECTED_FRACTION = 0.5
"""Largest fraction of a service's upstreams that may be ejected at once."""


class UpstreamHealthState(Enum):
    """Whether an upstream gets requests."""

    HEALTHY = "healthy"
    EJECTED = "ejected"
    PROBATION = "probation"


LIMIT_BY_STATE: dict[UpstreamHealthState, int | None] = {
    UpstreamHealthState.HEALTHY: None,
    UpstreamHealthState.EJECTED: 0,
    UpstreamHealthState.PROBATION: 1,
}
"""Most slots in use on an upstream in each state; ``None`` sets no limit."""


@dataclass(slots=True)
class _Upstream:
    """One upstream.

    ``samples`` counts the answers since the last ejection. ``ranked_s`` is the service
    time that counts for the median, or ``None`` below ``MIN_SAMPLES``.
    """

    service: str
    state: UpstreamHealthState = UpstreamHealthState.HEALTHY
    failure_rate: float = 0.0
    service_s: float = DEFAULT_SERVICE_S
    samples: int = 0
    ejections: int = 0
    probation_answers: int = 0
    ranked_s: float | None = None


class UpstreamHealth:
    """Health and average service time of each upstream."""

    def __init__(self) -> None:
        """Start without any upstream."""
        self._upstreams_by_id: dict[UpstreamId, _Upstream] = {}
        self._ranked_by_service: dict[str, SortedList] = {}
        self._ejected_by_service: dict[str, int] = {}
        self._count_by_service: dict[str, int] = {}
        self._ejection_ends = DeadlineHeap[UpstreamId]()

    def set_upstreams(self, upstreams: Iterable[ListedUpstream]) -> None:
        """Replace the list and forget the upstreams that are no longer on it."""
        listed_by_id = {upstream.id: upstream for upstream in upstreams}
        for upstream_id in list(self._upstreams_by_id):
            listed = listed_by_id.get(upstream_id)
            known = self._upstreams_by_id[upstream_id]
            if listed is None or listed.service != known.service:
                self._remove(upstream_id)
        self._count_by_service = {}
        for upstream in listed_by_id.values():
            self._upstreams_by_id.setdefault(upstream.id, _Upstream(upstream.service))
            self._count_by_service[upstream.service] = (
                self._count_by_service.get(upstream.service, 0) + 1
            )

    def state(self, upstream_id: UpstreamId) -> UpstreamHealthState:
        """Return an upstream's state; an unlisted one counts as healthy."""
        upstream = self._upstreams_by_id.get(upstream_id)
        return UpstreamHealthState.HEALTHY if upstream is None else upstream.state

    def limit(self, upstream_id: UpstreamId) -> int | None:
        """Return the most slots that may be in use on an upstream."""
        return LIMIT_BY_STATE[self.state(upstream_id)]

    def service_s(self, upstream_id: UpstreamId) -> float:
        """Return an upstream's average service time in seconds."""
        upstream = self._upstreams_by_id.get(upstream_id)
        return DEFAULT_SERVICE_S if upstream is None else upstream.service_s

    def median_s(self, service: str) -> float | None:
        """Return a service's median service time in seconds; ``None`` while unknown."""
        ranked = self._ranked_by_service.get(service)
        if not ranked:
            return None
        median: float = ranked[(len(ranked) - 1) // 2]
        return median

    def answered(self, upstream_id: UpstreamId, service_s: float, now: Instant) -> None:
        """Record an answer."""
        upstream = self._upstreams_by_id.get(upstream_id)
        if upstream is None or upstream.state is UpstreamHealthState.EJECTED:
            return
        upstream.failure_rate *= 1 - FAILURE_WEIGHT
        self._add_sample(upstream, service_s)
        if upstream.state is UpstreamHealthState.PROBATION:
            self._count_probation_answer(upstream)
        if self._is_slow(upstream):
            self._eject(upstream_id, upstream, now)

    def failed(self, upstream_id: UpstreamId, now: Instant) -> None:
        """Record a failed attempt."""
        upstream = self._upstreams_by_id.get(upstream_id)
        if upstream is None or upstream.state is UpstreamHealthState.EJECTED:
            return
        upstream.failure_rate += FAILURE_WEIGHT * (1 - upstream.failure_rate)
        on_probation = upstream.state is UpstreamHealthState.PROBATION
        if on_probation or upstream.failure_rate >= FAILURE_LIMIT:
            self._eject(upstream_id, upstream, now)

    def tick(self, now: Instant) -> list[UpstreamId]:
        """Put upstreams whose ejection is over on probation and return them."""
        due = self._ejection_ends.pop_due(now)
        for upstream_id in due:
            upstream = self._upstreams_by_id[upstream_id]
            self._ejected_by_service[upstream.service] -= 1
            upstream.state = UpstreamHealthState.PROBATION
            upstream.probation_answers = 0
        return due

    def _add_sample(self, upstream: _Upstream, service_s: float) -> None:
        weight = max(SERVICE_TIME_WEIGHT, 1 / (upstream.samples + 1))
        upstream.samples += 1
        upstream.service_s += weight * (service_s - upstream.service_s)
        if upstream.samples >= MIN_SAMPLES:
            self._set_ranked(upstream, upstream.service_s)
        if upstream.samples >= EJECTION_RESET_SAMPLES:
            upstream.ejections = 0

    def _set_ranked(self, upstream: _Upstream, service_s: float | None) -> None:
        ranked = self._ranked_by_service.setdefault(upstream.service, SortedList())
        if upstream.ranked_s is not None:
            ranked.remove(upstream.ranked_s)
        upstream.ranked_s = service_s
        if service_s is not None:
            ranked.add(service_s)

    def _is_slow(self, upstream: _Upstream) -> bool:
        median_s = self.median_s(upstream.service)
        if upstream.ranked_s is None or median_s is None:
            return False
        return upstream.ranked_s > max(SLOW_FLOOR_S, SLOW_FACTOR * median_s)

    def _count_probation_answer(self, upstream: _Upstream) -> None:
        upstream.probation_answers += 1
        if upstream.probation_answers < PROBATION_ANSWERS:
            return
        upstream.state = UpstreamHealthState.HEALTHY
        upstream.failure_rate = 0.0

    def _eject(
        self, upstream_id: UpstreamId, upstream: _Upstream, now: Instant
    ) -> None:
        ejected = self._ejected_by_service.get(upstream.service, 0)
        max_ejected = MAX_EJECTED_FRACTION * self._count_by_service.get(
            upstream.service, 0
        )
        if ejected + 1 > max_ejected:
            return
        self._ejected_by_service[upstream.service] = ejected + 1
        self._set_ranked(upstream, None)
        ejection_ms = min(MAX_EJECTION_MS, BASE_EJECTION_MS * 2**upstream.ejections)
        upstream.state = UpstreamHealthState.EJECTED
        upstream.ejections += 1
        upstream.failure_rate = 0.0
        upstream.samples = 0
        self._ejection_ends.set(upstream_id, after_ms(now, ejection_ms))

    def _remove(self, upstream_id: UpstreamId) -> None:
        upstream = self._upstreams_by_id.pop(upstream_id)
        self._set_ranked(upstream, None)
        self._ejection_ends.discard(upstream_id)
        if upstream.state is UpstreamHealthState.EJECTED:
            self._ejected_by_service[upstream.service] -= 1

"""Evacuates data centres at random, as operators do, and returns them to service."""

import random
from collections.abc import Sequence
from typing import Any

from tests.soak.invariants import InvariantChecker
from tests.soak.store_server import StoreServer

MEAN_INTERVAL_S = 3.0
MIN_EVACUATION_S = 2.0
MAX_EVACUATION_S = 18.0
ALL_ZONES_FRACTION = 0.2
VALUES = (b"{}", b"{}", b"{}", b'{"by": "operator"}', b"{not json")


class Evacuations:
    """Evacuates one data centre at a time, or all of them.

    The draws are of their own, so that a seed injects the same faults as without them.
    """

    def __init__(
        self,
        reactor: Any,
        seed: int,
        zones: Sequence[str],
        store: StoreServer,
        checker: InvariantChecker,
    ) -> None:
        """Prepare to draw evacuations of ``zones`` from ``seed``."""
        self._reactor = reactor
        self._rng = random.Random(seed)
        self._zones = zones
        self._store = store
        self._checker = checker
        self._evacuated: tuple[str, ...] = ()
        self._is_stopped = False
        self.count = 0

    def start(self) -> None:
        """Evacuate after a random time, and go on until stopped."""
        delay_s = self._rng.expovariate(1 / MEAN_INTERVAL_S)
        self._reactor.callLater(delay_s, self._evacuate)

    def stop(self) -> None:
        """Return all data centres to service for good."""
        self._is_stopped = True
        self._take_back()

    def _evacuate(self) -> None:
        if self._is_stopped:
            return
        is_all = self._rng.random() < ALL_ZONES_FRACTION
        self._evacuated = tuple(
            self._zones if is_all else [self._rng.choice(self._zones)]
        )
        self.count += 1
        for zone in self._evacuated:
            self._store.put("keyed.op", f"evacuate/{zone}", self._rng.choice(VALUES))
            self._checker.zone_evacuated(zone, self._reactor.seconds())
        duration_s = self._rng.uniform(MIN_EVACUATION_S, MAX_EVACUATION_S)
        self._reactor.callLater(duration_s, self._end)

    def _end(self) -> None:
        if not self._is_stopped:
            self._take_back()
            self.start()

    def _take_back(self) -> None:
        for zone in self._evacuated:
            self._store.put("keyed.op", f"evacuate/{zone}", b"")
            self._checker.zone_taken_back(zone)
        self._evacuated = ()

"""Injects random faults, which are drawn from a seed and may overlap."""

import random
import signal
from collections.abc import Callable
from dataclasses import replace
from typing import Any

from tests.soak.node_process import NodeProcess
from tests.soak.proxy import Proxy
from tests.soak.store_server import StoreServer
from tests.soak.worker_server import (
    CAPACITY,
    COUNTED_LATER_S,
    WorkerFaults,
    WorkerServer,
)

MAX_FAULT_S = 5.0
MIN_FAULT_S = 0.3
MEAN_INTERVAL_S = 2.0


class FaultInjector:
    """Injects faults at random intervals; ``injected`` lists them with their times."""

    def __init__(
        self,
        reactor: Any,
        seed: int,
        nodes: list[NodeProcess],
        workers: dict[WorkerServer, Proxy],
        store: StoreServer,
        change_config: Callable[[], None],
        on_fault: Callable[[float], None],
    ) -> None:
        """Prepare to draw faults from ``seed``.

        ``on_fault`` is called with the time until which a fault is in effect.
        """
        self._reactor = reactor
        self._rng = random.Random(seed)
        self._nodes = nodes
        self._workers = workers
        self._store = store
        self._change_config = change_config
        self._on_fault = on_fault
        self._started_at = reactor.seconds()
        self._is_stopped = False
        self.injected: list[str] = []
        self._kinds: dict[str, Callable[[float], None]] = {
            "kill": self._kill,
            "kill all": self._kill_all,
            "freeze": self._freeze,
            "stop": self._stop,
            "reload": self._reload,
            "store down": self._store_down,
            "store slow": self._store_slow,
            "store loses answers": self._store_drops_replies,
            "store cut": self._store_cut,
            "store resets": self._store_resets,
            "store silenced": self._store_silenced,
            "worker crash": self._worker_crash,
            "worker cut": self._worker_cut,
            "worker delayed": self._worker_delayed,
            "worker silenced": self._worker_silenced,
            "worker slow": self._worker_slow,
            "worker fails": self._worker_fails,
            "worker shrinks": self._worker_shrinks,
            "worker loses answers": self._worker_drops_replies,
            "configuration": lambda _: self._change_config(),
        }

    def start(self) -> None:
        """Inject a fault now, and others at random intervals."""
        if self._is_stopped:
            return
        kind = self._rng.choice(sorted(self._kinds))
        duration_s = self._rng.uniform(MIN_FAULT_S, MAX_FAULT_S)
        at_s = self._reactor.seconds() - self._started_at
        self.injected.append(f"{at_s:.1f} s {kind} for {duration_s:.1f} s")
        self._on_fault(self._reactor.seconds() + duration_s)
        self._kinds[kind](duration_s)
        delay_s = self._rng.expovariate(1 / MEAN_INTERVAL_S)
        self._reactor.callLater(delay_s, self.start)

    def stop(self) -> None:
        """Inject no more faults; those in effect still end after their duration."""
        self._is_stopped = True

    def _undo_after(self, duration_s: float, undo: Callable[[], None]) -> None:
        self._reactor.callLater(duration_s, undo)

    def _random_nodes(self) -> list[NodeProcess]:
        count = self._rng.choice((1, 1, 2))
        return self._rng.sample(self._nodes, min(count, len(self._nodes)))

    def _kill(self, _duration_s: float) -> None:
        for node in self._random_nodes():
            node.signal(signal.SIGKILL)

    def _kill_all(self, _duration_s: float) -> None:
        for node in self._nodes:
            node.signal(signal.SIGKILL)

    def _freeze(self, duration_s: float) -> None:
        for node in self._random_nodes():
            node.signal(signal.SIGSTOP)
            self._undo_after(duration_s, lambda node=node: node.signal(signal.SIGCONT))  # type: ignore[misc]

    def _stop(self, _duration_s: float) -> None:
        for node in self._random_nodes():
            node.signal(signal.SIGTERM)

    def _reload(self, _duration_s: float) -> None:
        for node in self._nodes:
            node.signal(signal.SIGHUP)

    def _store_down(self, duration_s: float) -> None:
        store = self._store.store
        store.is_down = True
        self._undo_after(duration_s, lambda: setattr(store, "is_down", False))

    def _store_slow(self, duration_s: float) -> None:
        store = self._store.store
        store.append_latency_s = 0.3
        self._undo_after(duration_s, lambda: setattr(store, "append_latency_s", 0.002))

    def _store_drops_replies(self, _duration_s: float) -> None:
        self._store.store.replies_to_drop = self._rng.randint(1, 8)

    def _store_cut(self, duration_s: float) -> None:
        for node in self._random_nodes():
            self._drop_data(node.store_proxy, duration_s)

    def _store_resets(self, _duration_s: float) -> None:
        for node in self._random_nodes():
            node.store_proxy.reset()

    def _store_silenced(self, _duration_s: float) -> None:
        for node in self._random_nodes():
            node.store_proxy.silence()

    def _drop_data(self, proxy: Proxy, duration_s: float) -> None:
        for direction in self._rng.choice(((True,), (False,), (True, False))):
            proxy.is_dropping[direction] = True
        self._undo_after(duration_s, proxy.restore)

    def _random_worker(self) -> tuple[WorkerServer, Proxy]:
        return self._rng.choice(list(self._workers.items()))

    def _worker_crash(self, duration_s: float) -> None:
        worker, _ = self._random_worker()
        worker.faults.is_dark = True
        worker.crash()
        self._undo_after(duration_s, lambda: setattr(worker, "faults", WorkerFaults()))

    def _worker_cut(self, duration_s: float) -> None:
        self._drop_data(self._random_worker()[1], duration_s)

    def _worker_delayed(self, duration_s: float) -> None:
        _, proxy = self._random_worker()
        proxy.delay_s = 0.5
        self._undo_after(duration_s, proxy.restore)

    def _worker_silenced(self, _duration_s: float) -> None:
        self._random_worker()[1].silence()

    def _set_worker_faults(self, faults: WorkerFaults, duration_s: float) -> None:
        worker, _ = self._random_worker()
        worker.faults = faults
        self._undo_after(duration_s, lambda: setattr(worker, "faults", WorkerFaults()))

    def _worker_slow(self, duration_s: float) -> None:
        self._set_worker_faults(WorkerFaults(slowdown=6.0), duration_s)

    def _worker_fails(self, duration_s: float) -> None:
        self._set_worker_faults(WorkerFaults(fails_all_work=True), min(duration_s, 1.0))

    def _worker_shrinks(self, duration_s: float) -> None:
        worker, _ = self._random_worker()
        millicores = self._rng.choice((0, 2_000, 6_000, 10_000))
        worker.set_capacity(replace(CAPACITY, millicores=millicores))
        # Longer than a shrunk capacity takes to count.
        self._undo_after(
            2.0 * duration_s + COUNTED_LATER_S, lambda: worker.set_capacity(CAPACITY)
        )

    def _worker_drops_replies(self, duration_s: float) -> None:
        self._set_worker_faults(WorkerFaults(lost_reply_fraction=0.3), duration_s)

"""Faults of the soak: drawn from a seed, in series and overlapping."""

import random
import signal
from collections.abc import Callable
from typing import Any

from tests.soak.nodes import NodeProcess
from tests.soak.proxy import Proxy
from tests.soak.store_server import StoreServer
from tests.soak.worker_server import WorkerFaults, WorkerServer

LONGEST_S = 5.0
SHORTEST_S = 0.3
PAUSE_S = 2.0


class Faults:
    """Does one fault after another; ``done`` lists them with their times."""

    def __init__(
        self,
        reactor: Any,
        seed: int,
        nodes: list[NodeProcess],
        workers: dict[WorkerServer, Proxy],
        store: StoreServer,
        change_config: Callable[[], None],
    ) -> None:
        """Draw faults from ``seed``."""
        self._reactor = reactor
        self._rng = random.Random(seed)
        self._nodes = nodes
        self._workers = workers
        self._store = store
        self._change_config = change_config
        self._began = reactor.seconds()
        self._is_over = False
        self.done: list[str] = []
        self._kinds: dict[str, Callable[[float], None]] = {
            "kill": self._kill,
            "kill all": self._kill_all,
            "freeze": self._freeze,
            "stop": self._stop,
            "reload": self._reload,
            "store down": self._store_down,
            "store slow": self._store_slow,
            "store loses answers": self._store_loses,
            "store cut": self._store_cut,
            "store resets": self._store_resets,
            "store silenced": self._store_silenced,
            "worker crash": self._worker_crash,
            "worker cut": self._worker_cut,
            "worker delayed": self._worker_delayed,
            "worker silenced": self._worker_silenced,
            "worker slow": self._worker_slow,
            "worker fails": self._worker_fails,
            "worker loses answers": self._worker_loses,
            "configuration": lambda _: self._change_config(),
        }

    def start(self) -> None:
        """Do a fault, and others after it."""
        if self._is_over:
            return
        kind = self._rng.choice(sorted(self._kinds))
        for_s = self._rng.uniform(SHORTEST_S, LONGEST_S)
        at_s = self._reactor.seconds() - self._began
        self.done.append(f"{at_s:.1f} s {kind} for {for_s:.1f} s")
        self._kinds[kind](for_s)
        pause_s = self._rng.expovariate(1 / PAUSE_S)
        self._reactor.callLater(pause_s, self.start)

    def stop(self) -> None:
        """Do no more; what is under way ends by itself."""
        self._is_over = True

    def _later(self, for_s: float, undo: Callable[[], None]) -> None:
        self._reactor.callLater(for_s, undo)

    def _some_nodes(self) -> list[NodeProcess]:
        count = self._rng.choice((1, 1, 2))
        return self._rng.sample(self._nodes, min(count, len(self._nodes)))

    def _kill(self, _for_s: float) -> None:
        for node in self._some_nodes():
            node.signal(signal.SIGKILL)

    def _kill_all(self, _for_s: float) -> None:
        for node in self._nodes:
            node.signal(signal.SIGKILL)

    def _freeze(self, for_s: float) -> None:
        for node in self._some_nodes():
            node.signal(signal.SIGSTOP)
            self._later(for_s, lambda node=node: node.signal(signal.SIGCONT))  # type: ignore[misc]

    def _stop(self, _for_s: float) -> None:
        for node in self._some_nodes():
            node.signal(signal.SIGTERM)

    def _reload(self, _for_s: float) -> None:
        for node in self._nodes:
            node.signal(signal.SIGHUP)

    def _store_down(self, for_s: float) -> None:
        store = self._store.store
        store.is_down = True
        self._later(for_s, lambda: setattr(store, "is_down", False))

    def _store_slow(self, for_s: float) -> None:
        store = self._store.store
        store.append_latency_s = 0.3
        self._later(for_s, lambda: setattr(store, "append_latency_s", 0.002))

    def _store_loses(self, _for_s: float) -> None:
        self._store.store.replies_to_drop = self._rng.randint(1, 8)

    def _store_cut(self, for_s: float) -> None:
        for node in self._some_nodes():
            self._cut(node.store_proxy, for_s)

    def _store_resets(self, _for_s: float) -> None:
        for node in self._some_nodes():
            node.store_proxy.reset()

    def _store_silenced(self, _for_s: float) -> None:
        for node in self._some_nodes():
            node.store_proxy.silence()

    def _cut(self, proxy: Proxy, for_s: float) -> None:
        for direction in self._rng.choice(((True,), (False,), (True, False))):
            proxy.cut[direction] = True
        self._later(for_s, proxy.heal)

    def _one_worker(self) -> tuple[WorkerServer, Proxy]:
        return self._rng.choice(list(self._workers.items()))

    def _worker_crash(self, for_s: float) -> None:
        worker, _ = self._one_worker()
        worker.faults.is_dark = True
        worker.crash()
        self._later(for_s, lambda: setattr(worker, "faults", WorkerFaults()))

    def _worker_cut(self, for_s: float) -> None:
        self._cut(self._one_worker()[1], for_s)

    def _worker_delayed(self, for_s: float) -> None:
        _, proxy = self._one_worker()
        proxy.delay_s = 0.5
        self._later(for_s, proxy.heal)

    def _worker_silenced(self, _for_s: float) -> None:
        self._one_worker()[1].silence()

    def _with(self, faults: WorkerFaults, for_s: float) -> None:
        worker, _ = self._one_worker()
        worker.faults = faults
        self._later(for_s, lambda: setattr(worker, "faults", WorkerFaults()))

    def _worker_slow(self, for_s: float) -> None:
        self._with(WorkerFaults(factor=6.0), for_s)

    def _worker_fails(self, for_s: float) -> None:
        self._with(WorkerFaults(fails=True), min(for_s, 1.0))

    def _worker_loses(self, for_s: float) -> None:
        self._with(WorkerFaults(lost=0.3), for_s)

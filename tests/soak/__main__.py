"""Runs one soak and prints its results as one line of JSON."""

import argparse
import json
import random
import sys
import tempfile
from pathlib import Path
from typing import Any

import orjson
from twisted.internet import reactor as twisted_reactor
from twisted.internet.task import LoopingCall

from tamarackmount.resources import Resources
from tests.soak.callers import HOST, Callers
from tests.soak.evacuations import Evacuations
from tests.soak.fault_injector import FaultInjector
from tests.soak.invariants import InvariantChecker
from tests.soak.node_process import BackEndPorts, NodeProcess
from tests.soak.proxy import Proxy
from tests.soak.store_server import StoreServer
from tests.soak.worker_server import WorkerServer

WORKERS = 6
NODES = 4
JOBS_PER_S = 6.0
CALLERS_START_DELAY_S = 3.0
MAX_WIND_DOWN_S = 40.0
END_CHECK_INTERVAL_S = 0.5
CEILING_MILLICORES = 24_000
ZONES = ("a", "b")
WORKSPACES = ("retail", "design", "press")
CONFIG_KEY = "config"


class Soak:
    """One run: a store, workers, nodes and callers, with faults from a seed."""

    def __init__(
        self, reactor: Any, options: argparse.Namespace, directory: Path
    ) -> None:
        """Prepare the store, workers, nodes and callers without starting them."""
        self._reactor = reactor
        self._options = options
        self._rng = random.Random(options.seed)
        self._config_version = 0
        self._ceiling_by_workspace = {
            workspace: Resources(CEILING_MILLICORES, 0, 0) for workspace in WORKSPACES
        }
        self.checker = InvariantChecker(self._ceiling_by_workspace)
        self._store = StoreServer(reactor)
        store_port = reactor.listenTCP(0, self._store.site, interface="127.0.0.1")
        ports = BackEndPorts(store_port.getHost().port)
        base_port = self._rng.randint(20_000, 30_000)
        self.nodes = [
            NodeProcess(reactor, number, base_port, ports, directory)
            for number in range(options.nodes)
        ]
        self._proxy_by_worker = dict(map(self._make_worker, range(options.workers)))
        self.callers = Callers(
            reactor,
            self.checker,
            lambda: [node.entry for node in self.nodes],
            list(WORKSPACES),
            options.seed + 1,
        )
        self.fault_injector = FaultInjector(
            reactor,
            options.seed + 2,
            self.nodes,
            self._proxy_by_worker,
            self._store,
            self._change_config,
            self.checker.fault_injected,
        )
        self.evacuations = Evacuations(
            reactor, options.seed + 3, ZONES, self._store, self.checker
        )

    def run(self) -> None:
        """Run for the given time, then until all accepted jobs have ended.

        Jobs that have not ended ``MAX_WIND_DOWN_S`` later are reported as violations.
        """
        self._change_config()
        for worker, proxy in self._proxy_by_worker.items():
            worker.start_heartbeats(f"127.0.0.1:{proxy.port}")
        for node in self.nodes:
            node.start()
        self._reactor.callLater(CALLERS_START_DELAY_S, self.callers.start, JOBS_PER_S)
        if self._options.leavers_per_s:
            self._reactor.callLater(
                CALLERS_START_DELAY_S,
                self.callers.start_leavers,
                self._options.leavers_per_s,
            )
        self._reactor.callLater(CALLERS_START_DELAY_S + 1.0, self.fault_injector.start)
        self._reactor.callLater(CALLERS_START_DELAY_S + 1.0, self.evacuations.start)
        self._reactor.callLater(self._options.minutes * 60.0, self._wind_down)
        self._reactor.addSystemEventTrigger("after", "shutdown", self._kill_nodes)
        self._reactor.run()

    def _wind_down(self) -> None:
        self.fault_injector.stop()
        self.evacuations.stop()
        self.callers.stop()
        deadline = self._reactor.seconds() + MAX_WIND_DOWN_S
        checks = LoopingCall(lambda: self._stop_if_finished(deadline))
        checks.start(END_CHECK_INTERVAL_S, now=False)

    def _stop_if_finished(self, deadline: float) -> None:
        if self.callers.unfinished_jobs() and self._reactor.seconds() < deadline:
            return
        self.checker.check_end()
        self._reactor.stop()

    def _kill_nodes(self) -> None:
        for node in self.nodes:
            node.kill_permanently()

    def _make_worker(self, number: int) -> tuple[WorkerServer, Proxy]:
        reactor = self._reactor
        worker = WorkerServer(
            reactor,
            f"w{number}",
            ZONES[number % len(ZONES)],
            self._store,
            self.checker,
            self._options.seed + number,
        )
        port = reactor.listenTCP(0, worker.site, interface="127.0.0.1")
        return worker, Proxy(reactor, port.getHost().port)

    def _change_config(self) -> None:
        self._config_version += self._rng.randint(1, 3)
        route = {
            "name": "r-1",
            "host": HOST,
            "pathPrefix": "/stock/",
            "targetLatencyMs": 250 + self._config_version,
            "priority": 0,
            "service": "counter",
            "maxAttempts": 4,
            "stretch": 20.0,
        }
        document = {
            "version": self._config_version,
            "routes": [route],
            "services": [{"name": "counter"}],
            "tenants": [
                {
                    "name": workspace,
                    "apiKeys": [f"key-{workspace}"],
                    "weight": 10,
                    "maximum": {"cpu": CEILING_MILLICORES},
                }
                for workspace in WORKSPACES
            ],
        }
        self._store.put("keyed.op", CONFIG_KEY, orjson.dumps(document))


def main() -> int:
    """Run a soak; return 1 on a violation or if a node exited with an error."""
    parser = argparse.ArgumentParser(prog="soak", description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--minutes", type=float, default=0.5)
    parser.add_argument("--nodes", type=int, default=NODES)
    parser.add_argument("--workers", type=int, default=WORKERS)
    parser.add_argument(
        "--leavers-per-s",
        type=float,
        default=0.0,
        help="callers a second who leave before the answer and cancel their jobs",
    )
    parser.add_argument(
        "--keep", type=Path, help="directory in which the nodes' logs are kept"
    )
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as temporary:
        directory = options.keep or Path(temporary)
        directory.mkdir(parents=True, exist_ok=True)
        soak = Soak(twisted_reactor, options, directory)
        soak.run()
    jobs = soak.checker.jobs_by_id.values()
    unexpected_exits = sum(
        status > 0 for node in soak.nodes for status in node.exit_statuses
    )
    summary = {
        "seed": options.seed,
        "jobs": len(jobs),
        "accepted": sum(job.is_accepted for job in jobs),
        "ended": sum(bool(job.final_state) for job in jobs),
        "starts": soak.checker.start_count,
        "answers": soak.callers.answer_count_by_status,
        "crashes": soak.checker.crash_count,
        "evacuations": soak.evacuations.count,
        "latest_start_after_evacuation_s": round(
            max(soak.checker.starts_after_evacuation_s, default=0.0), 2
        ),
        "faults": soak.fault_injector.injected,
        "own_ends": unexpected_exits,
        "breaches": soak.checker.violations,
    }
    print(json.dumps(summary))
    return 1 if soak.checker.violations or unexpected_exits else 0


if __name__ == "__main__":
    sys.exit(main())

"""Runs one soak and prints what it found as one line of JSON."""

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
from tests.soak.faults import Faults
from tests.soak.ledger import Ledger
from tests.soak.nodes import BackEnds, NodeProcess
from tests.soak.proxy import Proxy
from tests.soak.store_server import StoreServer
from tests.soak.worker_server import WorkerServer

WORKERS = 6
NODES = 4
JOBS_PER_S = 6.0
BEGIN_S = 3.0
SETTLE_S = 40.0
CHECK_S = 0.5
CEILING_MILLICORES = 24_000
TEAMS = ("retail", "design", "press")
CONFIG = "config"


class Soak:
    """One run: a store, workers, nodes and callers, with faults from a seed."""

    def __init__(self, reactor: Any, options: argparse.Namespace, folder: Path) -> None:
        """Prepare everything; nothing runs yet."""
        self._reactor = reactor
        self._options = options
        self._rng = random.Random(options.seed)
        self._version = 0
        self._ceiling_by_team = {
            team: Resources(CEILING_MILLICORES, 0, 0) for team in TEAMS
        }
        self.ledger = Ledger(self._ceiling_by_team)
        self._store = StoreServer(reactor)
        store_port = reactor.listenTCP(0, self._store.site, interface="127.0.0.1")
        ports = BackEnds(store_port.getHost().port)
        base_port = self._rng.randint(20_000, 30_000)
        self.nodes = [
            NodeProcess(reactor, number, base_port, ports, folder)
            for number in range(options.nodes)
        ]
        self._proxy_by_worker = dict(map(self._make_worker, range(options.workers)))
        self.callers = Callers(
            reactor,
            self.ledger,
            lambda: [node.entry for node in self.nodes],
            list(TEAMS),
            options.seed + 1,
        )
        self.faults = Faults(
            reactor,
            options.seed + 2,
            self.nodes,
            self._proxy_by_worker,
            self._store,
            self._change_config,
        )

    def run(self) -> None:
        """Run until the time is over and all jobs are, or have had time enough."""
        self._change_config()
        for worker, proxy in self._proxy_by_worker.items():
            worker.begin(f"127.0.0.1:{proxy.port}")
        for node in self.nodes:
            node.start()
        self._reactor.callLater(BEGIN_S, self.callers.start, JOBS_PER_S)
        self._reactor.callLater(BEGIN_S + 1.0, self.faults.start)
        self._reactor.callLater(self._options.minutes * 60.0, self._wind_down)
        self._reactor.addSystemEventTrigger("after", "shutdown", self._end_nodes)
        self._reactor.run()

    def _wind_down(self) -> None:
        self.faults.stop()
        self.callers.stop()
        give_up_at = self._reactor.seconds() + SETTLE_S
        checks = LoopingCall(lambda: self._check_over(give_up_at))
        checks.start(CHECK_S, now=False)

    def _check_over(self, give_up_at: float) -> None:
        if self.callers.open_jobs() and self._reactor.seconds() < give_up_at:
            return
        self.ledger.check_end()
        self._reactor.stop()

    def _end_nodes(self) -> None:
        for node in self.nodes:
            node.end()

    def _make_worker(self, number: int) -> tuple[WorkerServer, Proxy]:
        reactor = self._reactor
        worker = WorkerServer(
            reactor, f"w{number}", self._store, self.ledger, self._options.seed + number
        )
        port = reactor.listenTCP(0, worker.site, interface="127.0.0.1")
        return worker, Proxy(reactor, port.getHost().port)

    def _change_config(self) -> None:
        self._version += self._rng.randint(1, 3)
        route = {
            "name": "r-1",
            "host": HOST,
            "pathPrefix": "/stock/",
            "targetLatencyMs": 250 + self._version,
            "priority": 0,
            "service": "counter",
            "maxAttempts": 4,
            "stretch": 20.0,
        }
        document = {
            "version": self._version,
            "routes": [route],
            "services": [{"name": "counter"}],
            "tenants": [
                {
                    "name": team,
                    "apiKeys": [f"key-{team}"],
                    "weight": 10,
                    "maximum": {"cpu": CEILING_MILLICORES},
                }
                for team in TEAMS
            ],
        }
        self._store.put("keyed.op", CONFIG, orjson.dumps(document))


def main() -> int:
    """Run a soak; 1 if a promise was broken or a node ended by itself."""
    parser = argparse.ArgumentParser(prog="soak", description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--minutes", type=float, default=0.5)
    parser.add_argument("--nodes", type=int, default=NODES)
    parser.add_argument("--workers", type=int, default=WORKERS)
    parser.add_argument("--keep", type=Path, help="folder for the nodes' logs")
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as made:
        folder = options.keep or Path(made)
        folder.mkdir(parents=True, exist_ok=True)
        soak = Soak(twisted_reactor, options, folder)
        soak.run()
    jobs = soak.ledger.jobs_by_id.values()
    own_ends = sum(status > 0 for node in soak.nodes for status in node.exits)
    found = {
        "seed": options.seed,
        "jobs": len(jobs),
        "accepted": sum(job.is_accepted for job in jobs),
        "ended": sum(bool(job.final_state) for job in jobs),
        "starts": soak.ledger.starts,
        "answers": soak.callers.answers,
        "faults": soak.faults.done,
        "own_ends": own_ends,
        "breaches": soak.ledger.breaches,
    }
    print(json.dumps(found))
    return 1 if soak.ledger.breaches or own_ends else 0


if __name__ == "__main__":
    sys.exit(main())

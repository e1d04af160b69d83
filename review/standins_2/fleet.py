"""A small deployment on loopback addresses: store, minions, node processes, a client.

The nodes are started with the command of the deploy file. Everything that is sent,
answered and run is written to the case's ``record.txt``.
"""

import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

from twisted.internet import reactor as twisted_reactor
from twisted.internet.defer import Deferred, ensureDeferred
from twisted.internet.task import deferLater

from review.standins_2.minion import Minion
from tamarackmount.ids import Instant
from tamarackmount.platform.http import Address, HttpClient, Reply
from tests.soak.proxy import Proxy
from tests.soak.store_server import StoreServer
from tests.utils.build_platform_documents import boot_document

ROOT = Path(__file__).resolve().parents[2]
HOST = "orders.example"
PREFIX = "/stock/"
KEY = "key-retail"
CALL_S = 3.0
RESTART_S = 0.5
HELD, BROKEN, NOT_RUN = 0, 1, 2


def free_ports(ip: str, count: int) -> list[int]:
    """Return ports of an address that are free now."""
    sockets = []
    for _ in range(count):
        one = socket.socket()
        one.bind((ip, 0))
        sockets.append(one)
    ports = [one.getsockname()[1] for one in sockets]
    for one in sockets:
        one.close()
    return ports


class Node:
    """A process of the system on its own loopback address."""

    def __init__(self, fleet: "Fleet", number: int, zone: str, cores: float) -> None:
        """Write the node's settings."""
        self._fleet = fleet
        self.name = f"front-{zone}-{number}"
        block = os.getpid() % (250 * 250)
        self.ip = f"127.{1 + block // 250}.{1 + block % 250}.{1 + number}"
        front, ready, first, last = free_ports(self.ip, 4)
        self.front = f"{self.ip}:{front}"
        self.store_proxy = Proxy(fleet.reactor, fleet.store_port)
        settings = boot_document(
            node=self.name,
            ip=self.ip,
            zone=zone,
            listen={"front": self.front, "ready": f"{self.ip}:{ready}"},
            internalPorts=[first, last],
            limits={"cpuShare": cores, "cores": 1},
            platform={"address": f"127.0.0.1:{self.store_proxy.port}"},
            advice=f"127.0.0.1:{fleet.store_port}",
            cloud={"address": f"127.0.0.1:{fleet.store_port}"},
        )
        self._settings = fleet.folder / f"{self.name}.json"
        self._settings.write_text(json.dumps(settings))
        self._log = (fleet.log_folder / f"{self.name}.log").open("ab")
        self.process: subprocess.Popen[bytes] | None = None
        self.own_ends = 0
        self._is_over = False

    def start(self) -> None:
        """Start the process as the deploy file says."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["TAMARACKMOUNT_BOOT"] = str(self._settings)
        self.process = subprocess.Popen(
            deploy["roles"]["entry"]["run"].split(),
            cwd=ROOT,
            env=environment,
            stdout=self._log,
            stderr=subprocess.STDOUT,
        )
        self._watch(self.process)

    def _watch(self, process: "subprocess.Popen[bytes]") -> None:
        """Restart the process after a short delay when it has ended."""
        if self._is_over:
            return
        status = process.poll()
        if status is None:
            self._fleet.reactor.callLater(0.1, self._watch, process)
            return
        if status > 0:
            self.own_ends += 1
        self._fleet.record("process ended", node=self.name, status=status)
        self._fleet.reactor.callLater(RESTART_S, self._restart)

    def _restart(self) -> None:
        if not self._is_over:
            self.start()

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it runs."""
        if self.process is not None and self.process.poll() is None:
            self._fleet.record("signal", node=self.name, signal=number.name)
            self.process.send_signal(number)

    def end(self) -> None:
        """Kill the process."""
        self._is_over = True
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()
        self._log.close()


class Fleet:
    """One run of a case, which ends with its exit status."""

    def __init__(self, case: Path) -> None:
        """Start the store; ``case`` is the folder of the case."""
        self.reactor: Any = twisted_reactor
        self.has_trouble = os.environ.get("TROUBLE", "1") != "0"
        self._record_file = (case / "record.txt").open("w")
        self._began_at = time.monotonic()
        self._temporary = tempfile.TemporaryDirectory()
        self.folder = Path(self._temporary.name)
        self.log_folder = Path(os.environ.get("KEEP_LOGS", self._temporary.name))
        self.store = StoreServer(self.reactor)
        port = self.reactor.listenTCP(0, self.store.site, interface="127.0.0.1")
        self.store_port = port.getHost().port
        self.http = HttpClient(self.reactor)
        self.nodes: list[Node] = []
        self.minions: list[Minion] = []
        self.starts: list[tuple[float, str, str, int]] = []
        self.active: dict[str, set[tuple[str, int]]] = {}
        self.ended: list[tuple[float, str, str, int, str]] = []
        self.status = NOT_RUN

    def record(self, event: str, **values: Any) -> None:
        """Write a line to the record."""
        at_s = time.monotonic() - self._began_at
        self._record_file.write(f"{at_s:8.3f}  {event}  {json.dumps(values)}\n")
        self._record_file.flush()

    def add_node(self, zone: str, cores: float = 1.07) -> Node:
        """Add a node; it is started by :meth:`run`."""
        node = Node(self, len(self.nodes) + 1, zone, cores)
        self.nodes.append(node)
        return node

    def add_minion(self, name: str, **entry: Any) -> Minion:
        """Add a minion of the service ``orders``."""
        whole = {
            "service": "orders",
            "zone": "a",
            "labels": ["a", "r1"],
            "capacity": {"cpu": 16_000, "requestedMemoryMb": 65_536, "gpu": 0},
            **entry,
        }
        minion = Minion(
            self.reactor,
            self.store,
            name,
            whole,
            self.record,
            self._run_started,
            self._run_ended,
        )
        self.minions.append(minion)
        return minion

    def _run_started(self, minion: Minion, task: str, number: int, spec: str) -> None:
        now = self.reactor.seconds()
        self.starts.append((now, minion.name, task, number))
        self.active.setdefault(task, set()).add((minion.name, number))
        where = sorted(self.active[task])
        self.record("run starts", minion=minion.name, task=task, run=number, on=where)

    def _run_ended(self, minion: Minion, task: str, number: int, how: str) -> None:
        self.active.get(task, set()).discard((minion.name, number))
        now = self.reactor.seconds()
        self.ended.append((now, minion.name, task, number, how))
        self.record("run ends", minion=minion.name, task=task, run=number, how=how)

    def put_config(self, version: int = 1, **route: Any) -> None:
        """Write a configuration with one route, one service and one tenant."""
        whole_route = {
            "name": "r-orders",
            "host": HOST,
            "pathPrefix": PREFIX,
            "targetLatencyMs": 1_000,
            "priority": 1,
            "service": "orders",
            "maxAttempts": 4,
            "stretch": 20.0,
            **route,
        }
        document = {
            "version": version,
            "routes": [whole_route],
            "services": [{"name": "orders", "rejectsOverload": False}],
            "limits": {"maxBodyBytes": 262_144},
            "tenants": [
                {
                    "name": "retail",
                    "apiKeys": [KEY],
                    "weight": 10,
                    "maximum": {"cpu": 0, "requestedMemoryMb": 0, "gpu": 0},
                }
            ],
        }
        self.store.put("keyed.op", "config", json.dumps(document).encode())

    async def call(
        self, node: Node, method: str, name: str, body: Any = None, quiet: bool = False
    ) -> tuple[int, Any]:
        """Make a client's call; the status is 0 without an answer."""
        headers = f"Authorization: Bearer {KEY}\r\nDeadline-Remaining: 3000\r\n"
        data = None
        if body is not None:
            headers += "Content-Type: application/json\r\n"
            data = json.dumps(body).encode()
        deadline = Instant(self.reactor.seconds() + CALL_S)
        reply = await self.http.call(
            Address(node.front), method, PREFIX + name, deadline, data, headers, HOST
        )
        status, answer = 0, None
        if isinstance(reply, Reply):
            status = reply.status
            answer = json.loads(reply.body) if reply.body else None
        if not quiet:
            steps = body["steps"] if body else None
            self.record(
                method,
                node=node.name,
                path=PREFIX + name,
                steps=steps,
                status=status,
                answer=answer,
            )
        return status, answer

    async def submit(self, job_id: str, body: Any, tries: int = 5) -> bool:
        """Hand in a job, with retries at other nodes; tell whether it was accepted."""
        for number in range(tries):
            node = self.nodes[number % len(self.nodes)]
            status, _ = await self.call(node, "POST", job_id, body)
            if status == 200:
                return True
            await self.sleep(0.5)
        return False

    def sleep(self, seconds: float) -> "Deferred[None]":
        """Wait on the real clock."""
        return deferLater(self.reactor, seconds, lambda: None)

    async def until(self, is_true: Callable[[], bool], limit_s: float) -> bool:
        """Wait until something is true, for at most ``limit_s``."""
        ends_at = self.reactor.seconds() + limit_s
        while not is_true():
            if self.reactor.seconds() > ends_at:
                return False
            await self.sleep(0.05)
        return True

    def run(self, case: Callable[["Fleet"], Coroutine[Any, Any, int]]) -> None:
        """Start all, run ``case``, end all processes and exit with its status."""
        for minion in self.minions:
            minion.begin()
        for node in self.nodes:
            node.start()

        def start() -> None:
            task = ensureDeferred(self._run(case))
            task.addErrback(self._failed).addBoth(lambda _: self.reactor.stop())

        self.reactor.callWhenRunning(start)
        try:
            self.reactor.run()
        finally:
            for node in self.nodes:
                node.end()
            self.record("end", status=self.status)
            self._temporary.cleanup()
        sys.exit(self.status)

    async def _run(self, case: Callable[["Fleet"], Coroutine[Any, Any, int]]) -> None:
        self.status = await case(self)

    def _failed(self, failure: Any) -> None:
        self.record("the case failed", error=str(failure))
        print(failure, file=sys.stderr)
        self.status = NOT_RUN

"""Node processes of the soak, each with its own loopback address."""

import os
import signal
import subprocess
import sys
from pathlib import Path
from typing import Any

import orjson

from tests.soak.proxy import Proxy
from tests.utils.build_platform_documents import boot_document

DATA_CENTRES = ("a", "b", "c")
RESTART_DELAY_S = 0.3


def loopback_address(process_id: int, number: int) -> str:
    """Return the address of a node; runs of other processes have other ones.

    There are addresses for 62,500 runs at a time.
    """
    block = process_id % (250 * 250)
    return f"127.{1 + block // 250}.{1 + block % 250}.{1 + number}"


class NodeProcess:
    """One entry VM: a process that is restarted whenever it exits."""

    def __init__(
        self,
        reactor: Any,
        number: int,
        base_port: int,
        ports: "BackEndPorts",
        directory: Path,
    ) -> None:
        """Write the boot settings of the node with this number."""
        self._reactor = reactor
        self.name = f"front-{number}"
        self.ip = loopback_address(os.getpid(), number)
        self.entry = f"{self.ip}:{base_port}"
        self.store_proxy = Proxy(reactor, ports.store)
        self._log = (directory / f"{self.name}.log").open("ab")
        self._settings = directory / f"{self.name}.json"
        self._process: subprocess.Popen[bytes] | None = None
        self._is_stopped = False
        self.exit_statuses: list[int] = []
        document = boot_document(
            node=self.name,
            ip=self.ip,
            zone=DATA_CENTRES[number % len(DATA_CENTRES)],
            listen={"front": self.entry, "ready": f"{self.ip}:{base_port + 1}"},
            internalPorts=[base_port + 2, base_port + 3],
            platform={"address": f"127.0.0.1:{self.store_proxy.port}"},
            advice=f"127.0.0.1:{ports.store}",
        )
        self._settings.write_bytes(orjson.dumps(document))

    def start(self) -> None:
        """Start the process, unless the node was killed permanently."""
        if self._is_stopped:
            return
        environment = {**os.environ, "TAMARACKMOUNT_BOOT": str(self._settings)}
        self._process = subprocess.Popen(
            [sys.executable, "-m", "tamarackmount.node"],
            stdout=self._log,
            stderr=subprocess.STDOUT,
            env=environment,
        )
        self._restart_when_ended()

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it is running."""
        process = self._process
        if process is not None and process.poll() is None:
            process.send_signal(number)

    def kill_permanently(self) -> None:
        """Kill the process and do not restart it."""
        self._is_stopped = True
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self._process is not None:
            self._process.wait()
        self._log.close()

    def _restart_when_ended(self) -> None:
        process = self._process
        if self._is_stopped or process is None:
            return
        status = process.poll()
        if status is None:
            self._reactor.callLater(0.1, self._restart_when_ended)
            return
        self.exit_statuses.append(status)
        self._reactor.callLater(RESTART_DELAY_S, self.start)


class BackEndPorts:
    """Ports of the services that the nodes call."""

    def __init__(self, store: int) -> None:
        """Take the port of the store, which also serves advice."""
        self.store = store

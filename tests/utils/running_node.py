"""Run one node process with limits of the test's own, and observe what it uses."""

import http.client
import itertools
import os
import socket
import subprocess
import sys
import time
from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import IO

import orjson

from tests.soak.node_process import loopback_address
from tests.utils.build_hostile_requests import API_KEY, HOST, PREFIX
from tests.utils.build_platform_documents import boot_document, job_document
from tests.utils.hostile_clients import Script, connected
from tests.utils.serve_store import Mode

ROOT = Path(__file__).parents[2]

BASE_PORT = 20_000
"""First of the four ports of a node; each node has an address of its own."""

BYTES_PER_MIB = 1024 * 1024

RESERVED_DESCRIPTORS = 200
"""Part of a process's descriptors that the platform reserves for files."""

ATTEMPT_TIMEOUT_S = 10.0
"""Time-out of one attempt of an ordinary caller, in seconds."""

ATTEMPTS = 6
"""Number of attempts of an ordinary caller."""

RETRY_DELAY_S = 0.5
"""Pause between two attempts, in seconds."""

CALM_TIMEOUT_S = 60.0
"""Time-out of a single request without a crowd, in seconds."""

OK = 200
RETRIED_STATUSES = (429, 503, 504)
"""Answers after which a caller may send the same job again."""

_ORDINARY_ID_BASE = 0xA000_0000_0000_0000
"""First id of the jobs of ordinary callers; hostile ones use low ids."""

_numbers = itertools.count()
_job_ids = itertools.count(_ORDINARY_ID_BASE)


@dataclass(frozen=True, slots=True)
class Limits:
    """Limits of a process, as the settings file names them."""

    memory_mib: int
    file_descriptors: int


@dataclass(slots=True)
class Peaks:
    """Largest usage that was observed.

    ``memory_bytes`` is the resident memory, ``file_bytes`` the content of deleted
    temporary files, which the platform counts as memory, ``descriptors`` the number of
    open descriptors, and ``sockets`` that of sockets and pipes.
    """

    memory_bytes: int = 0
    file_bytes: int = 0
    descriptors: int = 0
    sockets: int = 0


class RunningNode:
    """A node process and its addresses."""

    def __init__(self, limits: Limits, directory: Path, store_port: int) -> None:
        """Start the process."""
        self.limits = limits
        self.peaks = Peaks()
        self._ip = loopback_address(os.getpid(), next(_numbers))
        self._store_port = store_port
        settings = directory / "boot.json"
        settings.write_bytes(orjson.dumps(self._document()))
        with (directory / "node.log").open("wb") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "tamarackmount.node"],
                stdout=log,
                stderr=subprocess.STDOUT,
                env={**os.environ, "TAMARACKMOUNT_BOOT": str(settings)},
                cwd=ROOT,
            )

    @property
    def entry(self) -> tuple[str, int]:
        """The address for callers."""
        return self._ip, BASE_PORT

    @property
    def readiness(self) -> tuple[str, int]:
        """The address of the platform's checks."""
        return self._ip, BASE_PORT + 1

    @property
    def peers(self) -> tuple[str, int]:
        """The address for other nodes."""
        return self._ip, BASE_PORT + 2

    @property
    def metrics(self) -> tuple[str, int]:
        """The address for metrics."""
        return self._ip, BASE_PORT + 3

    def submit_job(self) -> int | None:
        """Submit a small job as an ordinary caller, and return the last status.

        The result is None if no attempt got an answer.
        """
        path = f"{PREFIX}{next(_job_ids):016x}"
        body = orjson.dumps(job_document())
        return self._call_until_served("POST", self.entry, path, body)

    def get(self, address: tuple[str, int], path: str) -> int | None:
        """Call another port of the node as ``submit_job`` calls that for callers."""
        return self._call_until_served("GET", address, path, None)

    def observe(self) -> None:
        """Update the peaks, unless the process has ended."""
        process = Path(f"/proc/{self.process.pid}")
        try:
            status = (process / "status").read_text(encoding="ascii")
            descriptors = list((process / "fd").iterdir())
        except OSError:
            return
        self.peaks.memory_bytes = max(self.peaks.memory_bytes, _peak_memory(status))
        kinds = [_kind_of(path) for path in descriptors]
        sockets = sum(kind.startswith(("socket:", "pipe:")) for kind in kinds)
        self.peaks.descriptors = max(self.peaks.descriptors, len(kinds))
        self.peaks.sockets = max(self.peaks.sockets, sockets)
        deleted = [
            path
            for path, kind in zip(descriptors, kinds, strict=True)
            if kind.startswith("/") and kind.endswith(" (deleted)")
        ]
        file_bytes = sum(map(_size_of, deleted))
        self.peaks.file_bytes = max(self.peaks.file_bytes, file_bytes)

    def check_that_it_serves(self) -> None:
        """Fail unless an ordinary caller gets a job accepted."""
        assert self.submit_job() == OK, self.peaks

    def exchange(
        self, pieces: Sequence[bytes], answers: int = 1, pause_s: float = 0.0
    ) -> list[int]:
        """Send pieces on one connection and return the statuses of the answers.

        ``pause_s`` is the pause before each further piece, in seconds.
        """
        with socket.create_connection(self.entry, CALM_TIMEOUT_S) as connection:
            for number, piece in enumerate(pieces):
                time.sleep(pause_s if number else 0.0)
                connection.sendall(piece)
            stream = connection.makefile("rb")
            return [_read_status(stream) for _ in range(answers)]

    def check_limits(self) -> None:
        """Fail unless the process lives and has stayed within its limits."""
        self.observe()
        assert self.process.poll() is None
        memory_bytes = self.peaks.memory_bytes + self.peaks.file_bytes
        assert memory_bytes <= self.limits.memory_mib * BYTES_PER_MIB, self.peaks
        descriptors = self.limits.file_descriptors
        assert self.peaks.descriptors <= descriptors, self.peaks
        assert self.peaks.sockets <= descriptors - RESERVED_DESCRIPTORS, self.peaks

    def _document(self) -> dict[str, object]:
        return boot_document(
            ip=self._ip,
            listen={
                "front": f"{self._ip}:{BASE_PORT}",
                "ready": f"{self._ip}:{BASE_PORT + 1}",
            },
            internalPorts=[BASE_PORT + 2, BASE_PORT + 3],
            limits={
                "cpuShare": 0.5,
                "cores": 2,
                "memoryMb": self.limits.memory_mib,
                "fileDescriptors": self.limits.file_descriptors,
            },
            platform={"address": f"127.0.0.1:{self._store_port}"},
            advice="",
        )

    def _call_until_served(
        self, method: str, address: tuple[str, int], path: str, body: bytes | None
    ) -> int | None:
        status = None
        for _ in range(ATTEMPTS):
            self.observe()
            answer = self._call(method, address, path, body)
            if answer is not None and answer not in RETRIED_STATUSES:
                return answer
            status = answer or status
            time.sleep(RETRY_DELAY_S)
        return status

    def _call(
        self, method: str, address: tuple[str, int], path: str, body: bytes | None
    ) -> int | None:
        headers = {
            "Host": HOST,
            "Authorization": f"Bearer {API_KEY}",
            "Deadline-Remaining": str(int(ATTEMPT_TIMEOUT_S * 1_000)),
        }
        connection = http.client.HTTPConnection(*address, timeout=ATTEMPT_TIMEOUT_S)
        try:
            connection.request(method, path, body, headers)
            response = connection.getresponse()
            response.read()
        except (OSError, http.client.HTTPException):
            return None
        finally:
            connection.close()
        return response.status


class RunningStore:
    """A process with the platform's store."""

    def __init__(self) -> None:
        """Start the process."""
        self.process = subprocess.Popen(
            [sys.executable, "-m", "tests.utils.serve_store"],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            cwd=ROOT,
        )

    def read_port(self) -> int:
        """Return the port, once the process listens."""
        return int(self._read_line())

    def set_mode(self, mode: Mode) -> None:
        """Set how the store answers, and wait until that is in force."""
        assert self.process.stdin is not None
        self.process.stdin.write(mode.value.encode() + b"\n")
        self.process.stdin.flush()
        assert self._read_line() == mode.value

    def _read_line(self) -> str:
        stdout: IO[bytes] | None = self.process.stdout
        assert stdout is not None
        return stdout.readline().decode().strip()


@contextmanager
def running_node(
    limits: Limits, directory: Path
) -> Iterator[tuple[RunningNode, RunningStore]]:
    """Run a store and a node that has accepted a job; kill both at the end."""
    store = RunningStore()
    try:
        node = RunningNode(limits, directory, store.read_port())
        try:
            _wait_until_it_serves(node)
            yield node, store
        finally:
            node.process.kill()
            node.process.wait()
    finally:
        store.process.kill()
        store.process.communicate()


def check_survival(
    node: RunningNode, address: tuple[str, int], scripts: Sequence[Script]
) -> None:
    """Fail unless a node stays within its limits under a crowd, and still serves.

    The ports for readiness and metrics have ordinary callers of their own.
    """
    with connected(address, scripts) as crowd:
        crowd.wait_until_quiet(node.observe)
        node.check_that_it_serves()
        if address == node.readiness:
            assert node.get(address, "/api/readiness") == OK, node.peaks
        if address == node.metrics:
            assert node.get(address, "/metrics") == OK, node.peaks
        node.check_limits()


def _wait_until_it_serves(node: RunningNode) -> None:
    for _ in range(ATTEMPTS):
        if node.submit_job() == OK:
            return
        assert node.process.poll() is None
    raise AssertionError("the node accepts no job")


def _read_status(stream: IO[bytes]) -> int:
    """Read one answer and return its status; 0 if the connection was closed."""
    status_line = stream.readline().split()
    length = 0
    while (line := stream.readline().strip()) != b"":
        name, _, value = line.partition(b":")
        if name.lower() == b"content-length":
            length = int(value)
    stream.read(length)
    return int(status_line[1]) if status_line else 0


def _peak_memory(status: str) -> int:
    """Return the peak of the resident memory in bytes, from ``/proc/PID/status``."""
    rows = dict(line.split(":", 1) for line in status.splitlines())
    # A process that has ended has no such row.
    return int(rows["VmHWM"].split()[0]) * 1024 if "VmHWM" in rows else 0


def _kind_of(descriptor: Path) -> str:
    """Return what a descriptor refers to; it may have been closed meanwhile."""
    try:
        return str(descriptor.readlink())
    except OSError:
        return ""


def _size_of(descriptor: Path) -> int:
    try:
        return descriptor.stat().st_size
    except OSError:
        return 0

"""Tests of the command as a separate process, over loopback connections."""

import json
import os
import signal
import socket
import subprocess
import sys
import threading
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from http.server import BaseHTTPRequestHandler, HTTPServer

from tamarackmount.status import ExitStatus

TIMEOUT_S = 60
"""Time limit for one run of the command, in seconds."""


JOB_FILE = b'id = "a"\nkind = "batch"\ncores = 1\nmemory_gib = 1\n'


HANG_RECEIVED = threading.Event()
"""Set once the server has received the request that it never answers."""


class Handler(BaseHTTPRequestHandler):
    """Answers queue requests; closes the connection of every call to ``/v1/jobs``."""

    protocol_version = "HTTP/1.1"

    def do_POST(self) -> None:  # noqa: N802
        length = int(self.headers["Content-Length"])
        body = self.rfile.read(length)
        if self.path == "/v1/jobs":
            self.close_connection = True
            return
        if self.path.endswith("/hang"):
            HANG_RECEIVED.set()
            self.rfile.read(1)
            self.close_connection = True
            return
        answer = json.dumps(
            {"path": self.path, "key": self.headers["Authorization"], "size": len(body)}
        ).encode()
        self.send_response(200)
        self.send_header("Outcome", "answered")
        self.send_header("Served-By", "counter-3")
        self.send_header("Content-Length", str(len(answer)))
        self.end_headers()
        self.wfile.write(answer)

    def log_message(self, format: str, *args: object) -> None:  # noqa: A002
        """Print nothing."""


@contextmanager
def entry_vm() -> Iterator[str]:
    server = HTTPServer(("127.0.0.1", 0), Handler)
    thread = threading.Thread(target=server.serve_forever, args=(0.01,))
    thread.start()
    try:
        yield f"http://127.0.0.1:{server.server_port}"
    finally:
        server.shutdown()
        thread.join()
        server.server_close()


@dataclass
class Run:
    """Result of one run of the command."""

    status: int
    stdout: bytes
    stderr: bytes


def start_command(*args: str, url: str) -> subprocess.Popen[bytes]:
    variables = {
        **os.environ,
        "TAMARACKMOUNT_URL": url,
        "TAMARACKMOUNT_KEY": "secret",
    }
    return subprocess.Popen(
        [sys.executable, "-m", "tamarackmount", *args],
        env=variables,
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
    )


def run_command(*args: str, url: str, stdin: bytes = b"") -> Run:
    with start_command(*args, url=url) as process:
        stdout, stderr = process.communicate(stdin, TIMEOUT_S)
        return Run(process.returncode, stdout, stderr)


def test_a_request_is_sent_and_its_response_printed() -> None:
    with entry_vm() as url:
        args = ["request", "counter", "--path", "/stock", "--data", "@-"]
        run = run_command(*args, url=url, stdin=b"\x00" * 100_000)
    assert run.status == ExitStatus.OK
    assert json.loads(run.stdout) == {
        "path": "/v1/queues/counter/requests/stock",
        "key": "Bearer secret",
        "size": 100_000,
    }
    assert b"answered 200 by counter-3" in run.stderr


def test_a_lost_response_has_an_unknown_outcome() -> None:
    with entry_vm() as url:
        run = run_command("job", "submit", "-", url=url, stdin=JOB_FILE)
    assert run.status == ExitStatus.UNKNOWN_OUTCOME
    assert b"connection_lost" in run.stderr


def test_a_refused_connection_is_reported_as_not_run() -> None:
    with socket.socket() as unused:
        unused.bind(("127.0.0.1", 0))
        url = f"http://127.0.0.1:{unused.getsockname()[1]}"
        run = run_command("status", url=url)
    assert run.status == ExitStatus.UNREACHABLE
    assert run.stderr.startswith(b"not run: unreachable")


def test_an_invalid_command_line_prints_no_traceback() -> None:
    run = run_command("job", "vew", url="http://127.0.0.1:1")
    assert run.status == ExitStatus.USAGE
    assert b"job view" in run.stderr
    assert b"Traceback" not in run.stderr


def test_an_interrupted_request_is_reported() -> None:
    args = ["request", "counter", "--method", "POST", "--path", "/hang"]
    with entry_vm() as url, start_command(*args, url=url) as process:
        assert HANG_RECEIVED.wait(TIMEOUT_S)
        process.send_signal(signal.SIGINT)
        _, stderr = process.communicate(timeout=TIMEOUT_S)
    assert process.returncode == ExitStatus.INTERRUPTED
    assert b"Request id: " in stderr
    assert b"may have happened" in stderr
    assert b"Traceback" not in stderr

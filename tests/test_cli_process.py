"""The command as a process of its own, over real connections on loopback."""

import json
import os
import socket
import subprocess
import sys
import threading
from collections.abc import Iterator
from contextlib import contextmanager
from http.server import BaseHTTPRequestHandler, HTTPServer

from tamarackmount.status import ExitStatus

TIMEOUT_S = 60
"""Time after which a run of the command counts as stuck, in seconds."""


JOB_FILE = b'id = "a"\nkind = "batch"\ncores = 1\nmemory_gib = 1\n'


class Handler(BaseHTTPRequestHandler):
    """Answers requests, and loses the connection of every job call."""

    protocol_version = "HTTP/1.1"

    def do_POST(self) -> None:  # noqa: N802
        length = int(self.headers["Content-Length"])
        body = self.rfile.read(length)
        if self.path == "/v1/jobs":
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


def run_command(
    *args: str, url: str, stdin: bytes = b""
) -> subprocess.CompletedProcess[bytes]:
    variables = {
        **os.environ,
        "TAMARACKMOUNT_URL": url,
        "TAMARACKMOUNT_KEY": "secret",
    }
    return subprocess.run(
        [sys.executable, "-m", "tamarackmount", *args],
        env=variables,
        input=stdin,
        capture_output=True,
        timeout=TIMEOUT_S,
        check=False,
    )


def test_a_request_goes_out_and_its_answer_comes_back() -> None:
    with entry_vm() as url:
        args = ["request", "counter", "--path", "/stock", "--data", "@-"]
        run = run_command(*args, url=url, stdin=b"\x00" * 100_000)
    assert run.returncode == ExitStatus.OK
    assert json.loads(run.stdout) == {
        "path": "/v1/queues/counter/requests/stock",
        "key": "Bearer secret",
        "size": 100_000,
    }
    assert b"answered 200 by counter-3" in run.stderr


def test_a_lost_answer_has_an_unknown_outcome() -> None:
    with entry_vm() as url:
        run = run_command("job", "submit", "-", url=url, stdin=JOB_FILE)
    assert run.returncode == ExitStatus.UNKNOWN_OUTCOME
    assert b"connection_lost" in run.stderr


def test_nobody_at_the_address_is_told_as_not_run() -> None:
    with socket.socket() as unused:
        unused.bind(("127.0.0.1", 0))
        url = f"http://127.0.0.1:{unused.getsockname()[1]}"
        run = run_command("status", url=url)
    assert run.returncode == ExitStatus.UNREACHABLE
    assert run.stderr.startswith(b"not run: unreachable")


def test_a_wrong_command_line_prints_no_traceback() -> None:
    run = run_command("job", "vew", url="http://127.0.0.1:1")
    assert run.returncode == ExitStatus.USAGE
    assert b"job view" in run.stderr
    assert b"Traceback" not in run.stderr

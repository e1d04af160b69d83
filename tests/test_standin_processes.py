"""Tests of the stand-ins as processes: announced ports, SIGTERM, wall-clock times."""

import json
import signal
import subprocess
import sys
import time
import urllib.request
from collections.abc import Iterator
from contextlib import contextmanager

import pytest

from tests.utils.build_platform_messages import a_start, a_vm

ARGUMENTS_BY_MODULE = {
    "log_service": ["--keep", "10"],
    "vm_list": ["--lag-ms", "0", "--vm", a_vm("w1").model_dump_json()],
    "worker": ["--id", "w1"],
    "upstream": ["--id", "u1", "--slots", "8"],
}

END_TIMEOUT_S = 30
DAY_S = 86_400


@contextmanager
def running(module: str) -> Iterator["subprocess.Popen[bytes]"]:
    command = [sys.executable, "-m", f"tamarackmount.standins.{module}"]
    process = subprocess.Popen(
        [*command, *ARGUMENTS_BY_MODULE[module]], stdout=subprocess.PIPE
    )
    try:
        yield process
    finally:
        process.kill()
        process.communicate()


@pytest.mark.parametrize("module", ARGUMENTS_BY_MODULE)
def test_stand_in_announces_its_ports_and_exits_on_sigterm(module: str) -> None:
    with running(module) as process:
        assert process.stdout is not None
        line = json.loads(process.stdout.readline())
        assert line["event"] == "listening"
        assert line["port"] != line["control_port"]
        url = f"http://127.0.0.1:{line['control_port']}/breaches"
        with urllib.request.urlopen(url, timeout=END_TIMEOUT_S) as reply:
            assert json.load(reply) == {"breaches": []}
        process.send_signal(signal.SIGTERM)
        assert process.wait(END_TIMEOUT_S) == 0


def test_worker_reports_its_history_in_wall_clock_time() -> None:
    with running("worker") as process:
        assert process.stdout is not None
        line = json.loads(process.stdout.readline())
        start_url = f"http://127.0.0.1:{line['port']}/start"
        body = a_start().model_dump_json().encode()
        urllib.request.urlopen(start_url, body, END_TIMEOUT_S).close()
        state_url = f"http://127.0.0.1:{line['control_port']}/state"
        with urllib.request.urlopen(state_url, timeout=END_TIMEOUT_S) as reply:
            (entry,) = json.load(reply)["history"]
        assert abs(entry["start"] - time.time()) < DAY_S

"""The stand-ins as processes: the line they announce themselves by, and their end."""

import json
import signal
import subprocess
import sys
import urllib.request
from collections.abc import Iterator
from contextlib import contextmanager

import pytest

from tests.utils.build_platform import a_vm

ARGUMENTS_BY_MODULE = {
    "log_service": ["--keep", "10"],
    "vm_list": ["--lag-ms", "0", "--vm", a_vm("w1").model_dump_json()],
    "worker": ["--id", "w1"],
    "upstream": ["--id", "u1", "--slots", "8"],
}

END_TIMEOUT_S = 30


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
def test_a_stand_in_announces_its_ports_and_ends_by_sigterm(module: str) -> None:
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

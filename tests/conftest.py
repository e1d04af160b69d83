"""Settings of all tests.

Hypothesis runs the same examples every time, unless ``PROVE_SEED`` sets a seed for a
longer search, whose size is in ``tests/utils/prove.py``. Tests listed in
``KNOWN-RED.txt`` are deselected and printed, unless ``KNOWN_RED=run`` is set.
"""

import os
import signal
from pathlib import Path

import pytest
from hypothesis import HealthCheck, core, settings

KNOWN_RED_FILE = Path(__file__).parent.parent / "KNOWN-RED.txt"

_SEED = os.environ.get("PROVE_SEED")

settings.register_profile(
    "ci",
    derandomize=_SEED is None,
    deadline=None,
    database=None,
    suppress_health_check=list(HealthCheck),
)
settings.load_profile("ci")
if _SEED is not None:
    core.global_force_seed = int(_SEED)  # type: ignore[assignment]

# Processes that tests start inherit the handling of SIGINT, and a shell that runs the
# tests in the background ignores the signal.
signal.signal(signal.SIGINT, signal.default_int_handler)

_deselected: list[str] = []


def known_red() -> set[str]:
    """Return the listed test ids, one at the start of each entry."""
    if not KNOWN_RED_FILE.exists() or os.environ.get("KNOWN_RED") == "run":
        return set()
    lines = KNOWN_RED_FILE.read_text(encoding="utf-8").splitlines()
    return {line.split()[0] for line in lines if line.startswith("tests/")}


def pytest_collection_modifyitems(
    config: pytest.Config, items: list[pytest.Item]
) -> None:
    """Deselect the listed tests and no others."""
    known_failures = [item for item in items if item.nodeid in known_red()]
    items[:] = [item for item in items if item not in known_failures]
    _deselected.extend(item.nodeid for item in known_failures)
    config.hook.pytest_deselected(items=known_failures)


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print the tests that were deselected as known to fail."""
    for node_id in _deselected:
        terminalreporter.write_line(f"KNOWN RED, not run: {node_id}")

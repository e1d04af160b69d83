"""Settings shared by all tests: hypothesis runs the same examples every time.

``PROVE_SEED`` sets the seed of longer searches by hand; their size is in
``tests/utils/prove.py``. Tests listed in ``KNOWN-RED.txt`` are passed over
and printed, unless ``KNOWN_RED=run``.
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

# Processes that tests start take SIGINT over as it is here, and a shell that runs the
# tests in the background lets it be ignored.
signal.signal(signal.SIGINT, signal.default_int_handler)

_passed_over: list[str] = []


def known_red() -> set[str]:
    """Return the test ids that the list names, one at the start of each entry."""
    if not KNOWN_RED_FILE.exists() or os.environ.get("KNOWN_RED") == "run":
        return set()
    lines = KNOWN_RED_FILE.read_text(encoding="utf-8").splitlines()
    return {line.split()[0] for line in lines if line.startswith("tests/")}


def pytest_collection_modifyitems(
    config: pytest.Config, items: list[pytest.Item]
) -> None:
    """Pass over the tests that the list names, and no others."""
    red = [item for item in items if item.nodeid in known_red()]
    items[:] = [item for item in items if item not in red]
    _passed_over.extend(item.nodeid for item in red)
    config.hook.pytest_deselected(items=red)


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print what was passed over."""
    for node_id in _passed_over:
        terminalreporter.write_line(f"KNOWN RED, not run: {node_id}")

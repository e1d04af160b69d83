"""Command of the development harness; see docs/DEMO.md."""

import argparse
import logging
import shutil
import sys
import tempfile
from contextlib import suppress
from pathlib import Path
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.task import react

from tamarackmount.demo.options import demo_options
from tamarackmount.demo.ports import PortReservation
from tamarackmount.demo.report import json_line, table
from tamarackmount.demo.scenario import Scenario
from tamarackmount.demo.topology import DEMO_SHAPE, plan_topology


def parse_arguments() -> argparse.Namespace:
    """Read the command line."""
    parser = argparse.ArgumentParser(
        "python -m tamarackmount.demo", description=__doc__
    )
    parser.add_argument("--json", action="store_true", help="print one line of JSON")
    parser.add_argument("--faults", action="store_true", help="add more faults")
    parser.add_argument("--seed", type=int, default=1, help="seed of all choices")
    parser.add_argument("--requests", type=int, default=3_000, help="size of the load")
    return parser.parse_args()


class DemoRun:
    """One run of the harness and its exit code."""

    def __init__(self, arguments: argparse.Namespace) -> None:
        """Create the directory of the logs; the exit code is 1 until the verdict."""
        self.exit_code = 1
        self._arguments = arguments
        self._directory = Path(tempfile.mkdtemp(prefix="tamarackmount-demo-"))

    async def run(self, reactor: Any) -> None:
        """Run the scenario and print its verdict."""
        ports = PortReservation()
        topology = plan_topology(DEMO_SHAPE, ports.take)
        arguments = self._arguments
        options = demo_options(arguments.faults, arguments.seed, arguments.requests)
        scenario = Scenario(reactor, self._directory, topology, options)
        # A signal stops the reactor, which first waits for this trigger's Deferred.
        reactor.addSystemEventTrigger(
            "before", "shutdown", lambda: Deferred.fromCoroutine(scenario.cell.stop())
        )
        try:
            verdict = await scenario.run()
        finally:
            await scenario.cell.stop()
            ports.release()
        self.exit_code = verdict.exit_code
        print(json_line(verdict) if arguments.json else table(verdict))

    def clean_up(self) -> None:
        """Remove the logs of a passed run; print the directory of a failed one."""
        if self.exit_code == 0:
            shutil.rmtree(self._directory)
            return
        sys.stderr.write(f"logs of every process: {self._directory}\n")


def main() -> None:
    """Run the harness and exit with its exit code."""
    logging.basicConfig(
        level=logging.INFO, format="%(asctime)s %(message)s", stream=sys.stderr
    )
    demo = DemoRun(parse_arguments())
    with suppress(SystemExit):
        react(lambda reactor: Deferred.fromCoroutine(demo.run(reactor)))
    demo.clean_up()
    sys.exit(demo.exit_code)


if __name__ == "__main__":
    main()

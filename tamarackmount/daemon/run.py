"""Start-up of ``tamarackmountd``: settings, JSON-lines logs and signals."""

import argparse
import logging
import signal
import sys
from pathlib import Path
from typing import Any

from returns.result import Failure
from twisted.internet import reactor
from twisted.python.log import PythonLoggingObserver

from tamarackmount.checks import check_settings
from tamarackmount.daemon.service import Daemon
from tamarackmount.internal import jsonlog
from tamarackmount.settings import read_text
from tamarackmount.status import ExitStatus

_TWISTED = "tamarackmount.twisted"


def run(args: list[str]) -> ExitStatus:
    """Run a daemon until it stops; return its exit status."""
    options = _parse(args)
    jsonlog.configure(sys.stdout)
    PythonLoggingObserver(_TWISTED).start()
    logging.getLogger(_TWISTED).setLevel(logging.WARNING)
    try:
        text = read_text(options.settings)
    except OSError as error:
        print(f"{options.settings}: {error.strerror}", file=sys.stderr)
        return ExitStatus.INVALID
    checked = check_settings(text, str(options.settings))
    if isinstance(checked, Failure):
        for problem in checked.failure():
            print(problem, file=sys.stderr)
        return ExitStatus.INVALID
    return _serve(Daemon(checked.unwrap(), reactor))


def _parse(args: list[str]) -> argparse.Namespace:
    parser = argparse.ArgumentParser(
        prog="tamarackmountd", description="Run one entry VM of tamarackmount."
    )
    parser.add_argument("settings", type=Path, help="TOML file with its settings")
    return parser.parse_args(args)


def _serve(daemon: Daemon) -> ExitStatus:
    loop: Any = reactor
    exit_status = [ExitStatus.ERROR]

    def stop_gracefully(*_args: object) -> None:
        loop.callFromThread(daemon.drain)

    def stop_loop(succeeded: bool) -> None:
        exit_status[0] = ExitStatus.OK if succeeded else ExitStatus.ERROR
        loop.stop()

    def start() -> None:
        daemon.start().addCallback(stop_loop)

    loop.callWhenRunning(start)
    signal.signal(signal.SIGTERM, stop_gracefully)
    signal.signal(signal.SIGINT, stop_gracefully)
    loop.run(installSignalHandlers=False)
    return exit_status[0]

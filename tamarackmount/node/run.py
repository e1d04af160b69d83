"""Start-up of a node process: settings, logging, signals."""

import logging
import signal
import sys
from typing import Any

from returns.result import Failure
from twisted.internet import reactor
from twisted.internet.task import LoopingCall
from twisted.python.log import PythonLoggingObserver

from tamarackmount.internal import jsonlog
from tamarackmount.node import clock
from tamarackmount.node.no_resolver import NoResolver
from tamarackmount.node.node import Node
from tamarackmount.node.tasks import on_fatal_error, spawn
from tamarackmount.platform.boot import decode_boot, settings_path
from tamarackmount.status import ExitStatus

LOG_FLUSH_INTERVAL_S = 0.5
"""Interval between two attempts to write log lines that a slow reader has not taken, in
seconds."""

_TWISTED_LOGGER = "tamarackmount.twisted"
_log = logging.getLogger(__name__)


def run() -> ExitStatus:
    """Run a node until a signal stops it, and return the exit status."""
    handler = jsonlog.configure(sys.stdout)
    PythonLoggingObserver(_TWISTED_LOGGER).start()
    logging.getLogger(_TWISTED_LOGGER).setLevel(logging.WARNING)
    settings = decode_boot(settings_path().read_bytes())
    if isinstance(settings, Failure):
        print(settings.failure(), file=sys.stderr)
        return ExitStatus.INVALID
    loop: Any = reactor
    # Timers must neither follow changes of the wall clock nor stop during suspension.
    loop.seconds = clock.now
    loop.installResolver(NoResolver())
    node = Node(settings.unwrap(), loop)
    exit_status = [ExitStatus.OK]

    def stop_with_error() -> None:
        exit_status[0] = ExitStatus.ERROR
        loop.crash()

    on_fatal_error(stop_with_error)

    def drain() -> None:
        spawn(node.drain()).addBoth(lambda _: loop.stop())

    signal.signal(signal.SIGTERM, lambda *_: loop.callFromThread(drain))
    signal.signal(signal.SIGINT, lambda *_: loop.callFromThread(drain))
    signal.signal(signal.SIGHUP, lambda *_: loop.callFromThread(_check_settings))
    log_flushes = LoopingCall(handler.flush)
    log_flushes.clock = loop
    log_flushes.start(LOG_FLUSH_INTERVAL_S, now=False)
    loop.callWhenRunning(node.start)
    loop.run(installSignalHandlers=False)
    return exit_status[0]


def _check_settings() -> None:
    """Check the settings file and log the result; its values are read only at start."""
    settings = decode_boot(settings_path().read_bytes())
    if isinstance(settings, Failure):
        _log.error("settings file not readable", extra={"reason": settings.failure()})
        return
    _log.info("settings file is valid; changes take effect after a restart")

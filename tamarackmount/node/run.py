"""Starting a node on the users' platform: settings in, logs out, signals."""

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
from tamarackmount.node.node import Node
from tamarackmount.node.tasks import on_fatal_error, spawn
from tamarackmount.platform.boot import decode_boot, settings_path
from tamarackmount.status import ExitStatus

LOG_FLUSH_S = 0.5
"""Pause between two tries to write lines that a slow reader left, in seconds."""

_TWISTED = "tamarackmount.twisted"
_log = logging.getLogger(__name__)


def run() -> ExitStatus:
    """Run a node until it is told to stop, and return its exit status."""
    handler = jsonlog.configure(sys.stdout)
    PythonLoggingObserver(_TWISTED).start()
    logging.getLogger(_TWISTED).setLevel(logging.WARNING)
    settings = decode_boot(settings_path().read_bytes())
    if isinstance(settings, Failure):
        print(settings.failure(), file=sys.stderr)
        return ExitStatus.INVALID
    loop: Any = reactor
    # Timers must neither follow steps of the time of day nor stop while suspended.
    loop.seconds = clock.now
    node = Node(settings.unwrap(), loop)
    ended = [ExitStatus.OK]

    def broken() -> None:
        ended[0] = ExitStatus.ERROR
        loop.crash()

    on_fatal_error(broken)

    def drain() -> None:
        spawn(node.drain()).addBoth(lambda _: loop.stop())

    signal.signal(signal.SIGTERM, lambda *_: loop.callFromThread(drain))
    signal.signal(signal.SIGINT, lambda *_: loop.callFromThread(drain))
    signal.signal(signal.SIGHUP, lambda *_: loop.callFromThread(_reloaded))
    flushes = LoopingCall(handler.flush)
    flushes.clock = loop
    flushes.start(LOG_FLUSH_S, now=False)
    loop.callWhenRunning(node.start)
    loop.run(installSignalHandlers=False)
    return ended[0]


def _reloaded() -> None:
    """Note a new settings file; all that is read from it needs a restart."""
    settings = decode_boot(settings_path().read_bytes())
    if isinstance(settings, Failure):
        _log.error("settings not readable", extra={"reason": settings.failure()})
        return
    _log.info("settings read again")

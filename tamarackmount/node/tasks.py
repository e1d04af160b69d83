"""Starting tasks whose unexpected failure stops the process."""

import logging
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

from twisted.internet.defer import Deferred, ensureDeferred
from twisted.python.failure import Failure as TwistedFailure

T = TypeVar("T")

_log = logging.getLogger(__name__)
_on_broken: list[Callable[[], None]] = []


def on_fatal_error(stop: Callable[[], None]) -> None:
    """Call ``stop`` once an invariant is broken, in place of any earlier callable."""
    _on_broken[:] = [stop]


def spawn(task: "Coroutine[Deferred[Any], Any, T]") -> "Deferred[T | None]":
    """Run a task; an exception that it doesn't handle stops the process."""
    running: Deferred[Any] = ensureDeferred(task)
    return running.addErrback(_broken)


def stop_process_on_error(step: Callable[[], None]) -> Callable[[], None]:
    """Return ``step``, with an exception in it stopping the process."""

    def run() -> None:
        try:
            step()
        except Exception:  # noqa: BLE001  (whatever it is, the state can't be trusted)
            _broken(TwistedFailure())

    return run


def _broken(failure: TwistedFailure) -> None:
    """Log the failure; another node takes over what this one did."""
    error = (failure.type, failure.value, failure.getTracebackObject())
    _log.critical("broken invariant", exc_info=error)  # type: ignore[arg-type]
    for stop in _on_broken:
        stop()

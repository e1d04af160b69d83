"""Running tasks so that an unhandled exception stops the process."""

import logging
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any, TypeVar

from twisted.internet.defer import Deferred, ensureDeferred
from twisted.python.failure import Failure as TwistedFailure

T = TypeVar("T")

_log = logging.getLogger(__name__)


def _log_failed_answer(failure: TwistedFailure) -> None:
    _log.error("message not answered: unexpected error", exc_info=failure.value)


_fatal_error_callbacks: list[Callable[[], None]] = []


def on_fatal_error(stop: Callable[[], None]) -> None:
    """Call ``stop`` on a fatal error, instead of any callback set before."""
    _fatal_error_callbacks[:] = [stop]


def spawn(task: "Coroutine[Deferred[Any], Any, T]") -> "Deferred[T | None]":
    """Run a task; an exception that it does not handle stops the process."""
    running: Deferred[Any] = ensureDeferred(task)
    return running.addErrback(_handle_fatal_error)


def spawn_answer(task: "Coroutine[Deferred[Any], Any, T]") -> "Deferred[T | None]":
    """Run a task that answers a message of another node.

    An exception that it does not handle is logged and the message gets no answer: one
    message must not stop the process.
    """
    running: Deferred[Any] = ensureDeferred(task)
    return running.addErrback(_log_failed_answer)


def first_result(
    reactor: Any, call: "Awaitable[T]", timeout_s: float, default: T
) -> "Deferred[T]":
    """Return the result of a call, or ``default`` if it takes longer than the timeout.

    The call goes on after the timeout, in seconds; its result is dropped then.
    """
    result: Deferred[T] = Deferred()

    def finish(value: T) -> None:
        if timer.active():
            timer.cancel()
        if not result.called:
            result.callback(value)

    async def run() -> None:
        finish(await call)

    timer = reactor.callLater(timeout_s, lambda: finish(default))
    spawn(run())
    return result


class Event:
    """Something that happens again and again, and that tasks may wait for."""

    def __init__(self) -> None:
        """Begin without a task that waits."""
        self._waiting: set[Deferred[None]] = set()

    def notify(self) -> None:
        """Tell all tasks that wait now."""
        waiting, self._waiting = self._waiting, set()
        for waiter in waiting:
            waiter.callback(None)

    async def result_before(self, call: "Awaitable[T]", default: T) -> T:
        """Return the result of a call, or ``default`` if this event comes first.

        The call goes on after the event; its result is dropped then.
        """
        waiter: Deferred[None] = Deferred()
        self._waiting.add(waiter)
        result: list[T] = []

        async def run() -> None:
            result.append(await call)
            if waiter in self._waiting:
                self._waiting.discard(waiter)
                waiter.callback(None)

        spawn(run())
        await waiter
        return result[0] if result else default


def stop_process_on_error(step: Callable[[], None]) -> Callable[[], None]:
    """Return ``step`` wrapped so that an exception in it stops the process."""

    def run() -> None:
        try:
            step()
        except Exception:  # noqa: BLE001  (whatever it is, the state can't be trusted)
            _handle_fatal_error(TwistedFailure())

    return run


def _handle_fatal_error(failure: TwistedFailure) -> None:
    """Log the error and stop the process; another node takes over its work."""
    error = (failure.type, failure.value, failure.getTracebackObject())
    _log.critical("broken invariant", exc_info=error)  # type: ignore[arg-type]
    for stop in _fatal_error_callbacks:
        stop()

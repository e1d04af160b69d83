"""An append that is sent again while its first call may still be answered.

Load pattern: the store loses answers, or becomes slow from one moment to the next. In
the first case the append has to be repeated soon; in the second one, a call that is
given up on is answered a moment later, and each repetition delays those queued behind
it. So the first call is still waited for after the second one is sent.
"""

from collections.abc import Awaitable, Callable
from typing import Any

from twisted.internet.defer import Deferred

from tamarackmount.ids import Instant
from tamarackmount.node.adaptive_timeout import MAX_TIMEOUT_S
from tamarackmount.node.tasks import spawn, stop_process_on_error
from tamarackmount.platform.store import (
    Appended,
    AppendResult,
    StoreError,
    StoreErrorKind,
)

MAX_CALLS = 3
"""Maximum number of calls for one append; each is billed."""

CALL_DELAY_FACTOR = 2.0
"""Factor by which the delay before each further call grows, without unit."""

_UNKNOWN = StoreError(StoreErrorKind.OUTCOME_UNKNOWN, "calls gave different answers")


class HedgedAppend:
    """One append under one sequence number, in one or more calls.

    The store applies the first call that reaches it and answers the others alike.
    """

    def __init__(
        self, reactor: Any, call: Callable[[Instant], Awaitable[AppendResult]]
    ) -> None:
        """Append with ``call``, which takes the deadline of all calls."""
        self._reactor = reactor
        self._deadline = Instant(reactor.seconds() + MAX_TIMEOUT_S)
        self._call = call
        self._result: Deferred[AppendResult] = Deferred()
        self._sent = 0
        self._pending = 0
        self._may_be_applied = False
        self._timer: Any = None
        self.answered_in_s = 0.0

    async def run(self, hedge_after_s: float) -> AppendResult:
        """Return the outcome; send a second call after ``hedge_after_s``."""
        self._send(hedge_after_s)
        result = await self._result
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        return result

    def _send(self, next_after_s: float) -> None:
        self._sent += 1
        self._pending += 1
        spawn(self._run_call())
        if self._sent < MAX_CALLS and not self._result.called:
            self._timer = self._reactor.callLater(
                next_after_s,
                stop_process_on_error(
                    lambda: self._send(CALL_DELAY_FACTOR * next_after_s)
                ),
            )

    async def _run_call(self) -> None:
        sent_at = self._reactor.seconds()
        result = await self._call(self._deadline)
        self._pending -= 1
        if self._result.called:
            return
        if isinstance(result, StoreError):
            self._handle_error(result)
            return
        self.answered_in_s = self._reactor.seconds() - sent_at
        is_uncertain = self._may_be_applied or self._pending > 0
        if not isinstance(result, Appended) and is_uncertain:
            # Another call may have been applied before this one was turned away.
            self._result.callback(_UNKNOWN)
            return
        self._result.callback(result)

    def _handle_error(self, error: StoreError) -> None:
        if error.kind is StoreErrorKind.OUTCOME_UNKNOWN:
            self._may_be_applied = True
        if self._pending == 0:
            self._result.callback(_UNKNOWN if self._may_be_applied else error)

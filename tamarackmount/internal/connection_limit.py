"""Deadlines of a port's connections, and a limit on their number.

Above the limit, a new connection takes the place of one that was refused, of one whose
request stalls, or else of the one that has waited longest in the first state of
``EVICTION_ORDER`` that any has. One whose request is being served is never evicted.
"""

from collections.abc import Iterator, Mapping
from enum import Enum
from typing import Any, Protocol

from tamarackmount.ids import Instant


class ConnectionState(Enum):
    """What a connection waits for."""

    IDLE = "idle"
    """The first byte of a request."""

    RECEIVING = "receiving"
    """The rest of a request."""

    SERVING = "serving"
    """The node's response."""

    CLOSING = "closing"
    """The client, to read the last response."""

    DISCARDING = "discarding"
    """The client, to close after a refusal."""

    ESTABLISHED = "established"
    """The next message of another member, which has sent one before."""


TIMEOUT_S_BY_STATE = {
    ConnectionState.IDLE: 60.0,
    ConnectionState.RECEIVING: 30.0,
    ConnectionState.CLOSING: 15.0,
    ConnectionState.DISCARDING: 2.0,
}
"""Longest time in a state, in seconds; that of a request counts from its first byte."""

UNREAD_TIMEOUT_S = 30.0
"""How long a client may leave responses unread while more wait, in seconds."""

STALLED_AFTER_S = 2.0
"""Age from which an incomplete request gives way to others, in seconds."""

EVICTION_ORDER = (
    ConnectionState.IDLE,
    ConnectionState.RECEIVING,
    ConnectionState.CLOSING,
    ConnectionState.ESTABLISHED,
)
"""States of connections that may be evicted if none is refused or stalls, the first
ones first."""

NEVER = Instant(float("inf"))


class LimitedConnection(Protocol):
    """A connection as the table sees it."""

    def time_out(self, state: ConnectionState) -> None:
        """Close the connection, which was in ``state`` for too long."""

    def displace(self, wanted: int) -> None:
        """Refuse the incomplete request if that returns any of ``wanted`` bytes."""

    def abort(self) -> None:
        """Close the connection at once."""


class EvictionObserver(Protocol):
    """Records connections that were closed to admit others."""

    def record_eviction(self, state: ConnectionState, limit: int) -> None:
        """Count a connection in ``state``; ``SERVING`` if the new one was closed."""


class ConnectionTable:
    """The connections of one port, by state and in the order of their deadlines."""

    def __init__(
        self,
        reactor: Any,
        limit: int,
        observer: EvictionObserver,
        timeout_s_by_state: Mapping[ConnectionState, float] = TIMEOUT_S_BY_STATE,
    ) -> None:
        """Admit up to ``limit`` connections."""
        self._reactor = reactor
        self._limit = limit
        self._observer = observer
        self._timeout_s_by_state = timeout_s_by_state
        self._state_by_connection: dict[LimitedConnection, ConnectionState] = {}
        self._deadlines_by_state: dict[
            ConnectionState, dict[LimitedConnection, Instant]
        ] = {state: {} for state in ConnectionState}
        self._unread_deadlines: dict[LimitedConnection, Instant] = {}
        self._timer: Any = None

    def __len__(self) -> int:
        """Return the number of open connections."""
        return len(self._state_by_connection)

    def add(self, connection: LimitedConnection) -> bool:
        """Add an idle connection; return False if there is no place for it."""
        if len(self) >= self._limit and not self._evict():
            self._observer.record_eviction(ConnectionState.SERVING, self._limit)
            return False
        self._enter(connection, ConnectionState.IDLE)
        return True

    def move(self, connection: LimitedConnection, state: ConnectionState) -> None:
        """Record that a connection entered a state; its deadline starts anew."""
        previous = self._state_by_connection.get(connection)
        if previous is None or previous is state:
            return
        del self._deadlines_by_state[previous][connection]
        self._enter(connection, state)

    def remove(self, connection: LimitedConnection) -> None:
        """Forget a connection that is closed."""
        state = self._state_by_connection.pop(connection, None)
        if state is not None:
            del self._deadlines_by_state[state][connection]
        self._unread_deadlines.pop(connection, None)
        if not self._state_by_connection and self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def set_unread(self, connection: LimitedConnection, is_unread: bool) -> None:
        """Record whether responses wait for the client to read earlier ones."""
        self._unread_deadlines.pop(connection, None)
        if is_unread and connection in self._state_by_connection:
            deadline = Instant(self._reactor.seconds() + UNREAD_TIMEOUT_S)
            self._unread_deadlines[connection] = deadline
            self._wake_at(deadline)

    def stalled(self) -> Iterator[LimitedConnection]:
        """Yield connections with incomplete requests that give way, oldest first."""
        timeout_s = self._timeout_s_by_state[ConnectionState.RECEIVING]
        latest = self._reactor.seconds() + timeout_s - STALLED_AFTER_S
        receiving = self._deadlines_by_state[ConnectionState.RECEIVING]
        for connection, deadline in list(receiving.items()):
            if deadline > latest:
                return
            yield connection

    def _enter(self, connection: LimitedConnection, state: ConnectionState) -> None:
        self._state_by_connection[connection] = state
        timeout_s = self._timeout_s_by_state.get(state)
        if timeout_s is None:
            self._deadlines_by_state[state][connection] = NEVER
            return
        deadline = Instant(self._reactor.seconds() + timeout_s)
        self._deadlines_by_state[state][connection] = deadline
        self._wake_at(deadline)

    def _evict(self) -> bool:
        victim = next(self._evictable(), None)
        if victim is None:
            return False
        state = self._state_by_connection[victim]
        self._observer.record_eviction(state, self._limit)
        self.remove(victim)
        victim.abort()
        return True

    def _evictable(self) -> Iterator[LimitedConnection]:
        """Yield the connections that may be evicted, in that order."""
        yield from self._deadlines_by_state[ConnectionState.DISCARDING]
        yield from self.stalled()
        for state in EVICTION_ORDER:
            yield from self._deadlines_by_state[state]

    def _wake_at(self, deadline: Instant) -> None:
        delay_s = max(0.0, deadline - self._reactor.seconds())
        if self._timer is None:
            self._timer = self._reactor.callLater(delay_s, self._close_overdue)
        elif deadline < self._timer.getTime():
            self._timer.reset(delay_s)

    def _close_overdue(self) -> None:
        self._timer = None
        now = self._reactor.seconds()
        for connection in _overdue(self._unread_deadlines, now):
            self.remove(connection)
            connection.abort()
        for state, deadlines in self._deadlines_by_state.items():
            for connection in _overdue(deadlines, now):
                connection.time_out(state)
        heads = (self._unread_deadlines, *self._deadlines_by_state.values())
        earliest = min((_first(deadlines) for deadlines in heads), default=NEVER)
        if earliest < NEVER:
            self._wake_at(earliest)


def _first(deadlines: dict[LimitedConnection, Instant]) -> Instant:
    return next(iter(deadlines.values()), NEVER)


def _overdue(
    deadlines: dict[LimitedConnection, Instant], now: float
) -> list[LimitedConnection]:
    """Return the connections whose deadline has passed; the earliest come first."""
    overdue = []
    for connection, deadline in deadlines.items():
        if deadline > now:
            break
        overdue.append(connection)
    return overdue

"""Whether the store answers this node.

Load pattern: a data centre is cut off from the store. Callers of its nodes can't be
served there, and come to other nodes only once the load balancer sees that these are
not ready. So a node whose reads have brought no answer for a while reads once more, and
counts as cut off soon after that. It does so sooner if no other data centre answers
either: then the store is not just slow.
"""

from collections.abc import Awaitable, Callable, Iterable
from typing import Any

from twisted.internet.task import LoopingCall

from tamarackmount.ids import Instant
from tamarackmount.node.tasks import spawn, stop_process_on_error

PROBE_AFTER_S = 0.6
"""Silence of the store after which this node reads once more, in seconds; its long
polls are mostly answered sooner."""

MAX_SILENCE_S = 1.3
"""Silence of the store after which this node counts as cut off from it, in seconds. A
slow store answers the additional read in 0.3 to 0.5 s."""

CUT_OFF_PROBE_AFTER_S = 0.1
"""Time for which other data centres have not answered after which this node reads once
more, in seconds."""

MIN_CUT_OFF_SILENCE_S = 0.1
"""Least silence of the store itself for that read, in seconds."""

MAX_REMOTE_SILENCE_S = 0.25
"""Time for which other data centres have not answered after which they count as lost,
in seconds: two queries of different nodes are unanswered then."""

MAX_CUT_OFF_READ_S = 0.2
"""Time for which an additional read is unanswered, in seconds, after which this node is
cut off if no other data centre answers either; reads take 5 to 15 ms."""

CHECK_INTERVAL_S = 0.1
"""Interval between two checks of the silence, in seconds."""


class StoreContact:
    """Knows for how long the store has been silent to this node."""

    def __init__(
        self,
        reactor: Any,
        last_answers: Callable[[], Iterable[Instant | None]],
        read_now: Callable[[], Awaitable[bool]],
        remote_silence_s: Callable[[], float],
        is_remote_answering: Callable[[], bool] = lambda: False,
    ) -> None:
        """Prepare the checks.

        ``last_answers`` returns when the store last answered each of the node's reads;
        ``read_now`` reads once without waiting. ``remote_silence_s`` returns for how
        long other data centres have not answered queries, in seconds, and
        ``is_remote_answering`` whether they answer now.
        """
        self._reactor = reactor
        self._started_at = Instant(reactor.seconds())
        self._last_answers = last_answers
        self._read_now = read_now
        self._remote_silence_s = remote_silence_s
        self._is_remote_answering = is_remote_answering
        self._is_probing = False
        self._unanswered_since: Instant | None = None
        self._checks = LoopingCall(stop_process_on_error(self._check))
        self._checks.clock = reactor

    @property
    def is_lost(self) -> bool:
        """Whether this node does not reach the store."""
        return self.is_cut_off or self.silence_s() > MAX_SILENCE_S

    @property
    def is_cut_off(self) -> bool:
        """Whether neither the store nor another data centre answers this node."""
        return (
            self._unanswered_s() > MAX_CUT_OFF_READ_S
            and self._remote_silence_s() > MAX_REMOTE_SILENCE_S
        )

    @property
    def may_be_cut_off(self) -> bool:
        """Whether this node lacks the store and may lack the other nodes as well.

        It does not if other data centres answer: the store turns it away.
        """
        return self.is_lost and not self._is_remote_answering()

    def start(self) -> None:
        """Start checking."""
        self._checks.start(CHECK_INTERVAL_S, now=False)

    def silence_s(self) -> float:
        """Return the time since the store last answered this node, in seconds.

        Before the first answer, this is the time since the node began.
        """
        answers = [answer for answer in self._last_answers() if answer is not None]
        now: float = self._reactor.seconds()
        return now - max(answers, default=self._started_at)

    def _unanswered_s(self) -> float:
        """Return for how long additional reads have had no answer, in seconds."""
        since = self._unanswered_since
        now: float = self._reactor.seconds()
        if since is None or self.silence_s() < now - since:
            return 0.0
        return now - since

    def _check(self) -> None:
        silence_s = self.silence_s()
        is_due = silence_s > PROBE_AFTER_S or (
            silence_s > MIN_CUT_OFF_SILENCE_S
            and self._remote_silence_s() > CUT_OFF_PROBE_AFTER_S
        )
        if is_due and not self._is_probing:
            self._is_probing = True
            if not self._unanswered_s():
                self._unanswered_since = Instant(self._reactor.seconds())
            spawn(self._probe())

    async def _probe(self) -> None:
        await self._read_now()
        self._is_probing = False

"""A queue that keeps costly decoding to a share of the processor."""

import time
from collections.abc import Callable
from typing import Any, Protocol

PAUSE_FACTOR = 2.0
"""Pause after a piece of work, as a multiple of the time that it took."""


class Decoder(Protocol):
    """Has received bytes that are costly to decode."""

    def decode_received(self) -> None:
        """Decode the bytes; more may be added to the queue meanwhile."""


class DecodeQueue:
    """Decodes for one connection after the other, with pauses between them."""

    def __init__(
        self, reactor: Any, read_time: Callable[[], float] = time.perf_counter
    ) -> None:
        """Measure work by ``read_time``, in seconds."""
        self._reactor = reactor
        self._read_time = read_time
        # The values are not used; a dict keeps the order and finds its keys quickly.
        self._waiting: dict[Decoder, None] = {}
        self._timer: Any = None

    def __len__(self) -> int:
        """Return the number of connections that wait."""
        return len(self._waiting)

    def add(self, decoder: Decoder) -> None:
        """Let ``decoder`` decode, at once if nothing was decoded just now."""
        self._waiting[decoder] = None
        if self._timer is None:
            self._decode_next()

    def remove(self, decoder: Decoder) -> None:
        """Forget a connection that is closed."""
        self._waiting.pop(decoder, None)

    def _decode_next(self) -> None:
        self._timer = None
        decoder = next(iter(self._waiting), None)
        if decoder is None:
            return
        del self._waiting[decoder]
        # Work that is added meanwhile has to wait for the pause.
        self._timer = self._reactor.callLater(0, self._decode_next)
        started_at = self._read_time()
        decoder.decode_received()
        took_s = self._read_time() - started_at
        self._timer.reset(took_s * PAUSE_FACTOR)

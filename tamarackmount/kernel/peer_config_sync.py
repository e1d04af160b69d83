"""Transfer of the configuration between members, for those that can't read the log.

Heartbeats carry the log offset up to which the sender knows all changes. A member that
can't read the log requests later changes from a peer that knows more.
"""

from tamarackmount.ids import Instant, MemberId
from tamarackmount.kernel.effects import Effect, SendPeer
from tamarackmount.kernel.fleet_config import FleetConfig
from tamarackmount.kernel.messages import ConfigSync, ConfigWanted, Heartbeat

REQUEST_INTERVAL_S = 1.0
"""Shortest time between two requests for documents, in seconds."""


class PeerConfigSync:
    """Requests documents from peers and answers such requests."""

    def __init__(self, config: FleetConfig, now: Instant) -> None:
        """Start to synchronise ``config``."""
        self._config = config
        self._next_request_at = now

    def heartbeat_received(
        self, heartbeat: Heartbeat, is_log_fresh: bool, now: Instant
    ) -> list[Effect]:
        """Request documents from the sender if it knows more than this member."""
        config = self._config
        if is_log_fresh and config.is_complete:
            return []
        if heartbeat.config_offset <= config.known_to or now < self._next_request_at:
            return []
        self._next_request_at = Instant(now + REQUEST_INTERVAL_S)
        return [SendPeer(heartbeat.member_id, ConfigWanted(config.known_to))]

    def answer(self, sender: MemberId, request: ConfigWanted) -> list[Effect]:
        """Answer with the documents changed since the offset that the sender knows."""
        config = self._config
        if not config.is_loaded:
            return []
        entries = config.entries_since(request.have_offset)
        return [SendPeer(sender, ConfigSync(config.known_to, entries))]

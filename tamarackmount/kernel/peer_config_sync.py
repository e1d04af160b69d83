"""Configuration from member to member, for those that can't read the log.

Heartbeats tell how much of the log's changes the sender knows. A member that can't
read the log itself asks a peer that knows more for the documents changed since.
"""

from tamarackmount.ids import Instant, MemberId
from tamarackmount.kernel.effects import Effect, SendPeer
from tamarackmount.kernel.fleet_config import FleetConfig
from tamarackmount.kernel.messages import ConfigSync, ConfigWanted, Heartbeat

CONFIG_WANTED_S = 1.0
"""Least time between two requests for a peer's documents, in seconds."""


class PeerConfigSync:
    """One member's asking for documents and answering of such requests."""

    def __init__(self, config: FleetConfig, now: Instant) -> None:
        """Spread the documents of ``config``."""
        self._config = config
        self._wanted_at = now

    def heartbeat_received(
        self, heartbeat: Heartbeat, is_log_fresh: bool, now: Instant
    ) -> list[Effect]:
        """Ask the sender for its documents if it knows more than the log gives here."""
        config = self._config
        if is_log_fresh and config.is_complete:
            return []
        if heartbeat.config_offset <= config.known_to or now < self._wanted_at:
            return []
        self._wanted_at = Instant(now + CONFIG_WANTED_S)
        return [SendPeer(heartbeat.member_id, ConfigWanted(config.known_to))]

    def wanted(self, sender: MemberId, wanted: ConfigWanted) -> list[Effect]:
        """Answer with the documents changed since the offset that the sender has."""
        config = self._config
        if not config.is_loaded:
            return []
        entries = config.entries_since(wanted.have_offset)
        return [SendPeer(sender, ConfigSync(config.known_to, entries))]

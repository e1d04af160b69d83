"""Ask which incarnation of a worker a connection leads to.

Calls name a worker's id only, so that the next incarnation under the same id would take
what was meant for the former one.
"""

import logging

import orjson

from tamarackmount.ids import Epoch
from tamarackmount.platform.decoding import DECODING_ERRORS
from tamarackmount.platform.http import PeerQuestion, Reply
from tamarackmount.scheduling.domain.model import WorkerIncarnation

POLL_TARGET = "/api/hold"
"""Target of a poll."""

_log = logging.getLogger(__name__)


def incarnation_question(
    incarnation: WorkerIncarnation, fencing_token: Epoch
) -> PeerQuestion:
    """Return the question: a poll that renews and acknowledges nothing."""
    body = orjson.dumps({"fencingToken": fencing_token, "ackCursor": 0})

    def read_peer(reply: Reply) -> WorkerIncarnation | None:
        if reply.status != 200:
            return None
        try:
            born = int(orjson.loads(reply.body).get("born", incarnation.born_unix_ms))
        except DECODING_ERRORS:
            return None
        if born != incarnation.born_unix_ms:
            extra = {"worker": incarnation.worker_id, "born": born}
            _log.info("connection leads to another incarnation", extra=extra)
        return WorkerIncarnation(incarnation.worker_id, born)

    return PeerQuestion(incarnation, POLL_TARGET, body, read_peer)

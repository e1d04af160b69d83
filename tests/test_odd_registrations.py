"""Registrations of any shape, from the decoder to the encoded request and record.

Guards against an entry that the decoder lets through and that can't be sent in a header
or stored under a key, so that it ends each holder in turn.
"""

from collections.abc import Callable
from typing import Any

import orjson
from hypothesis import given
from hypothesis import strategies as st
from returns.result import Success

from tamarackmount.ids import Epoch, Instant
from tamarackmount.platform import http, store
from tamarackmount.platform.http import CallError, CallErrorKind
from tamarackmount.platform.store import KeyedRecord, record_bytes
from tamarackmount.platform.workers import PollRequest, WorkerCalls, decode_worker
from tamarackmount.scheduling.store.record_limits import DEFAULT_MAX_RECORD_BYTES
from tests.test_odd_messages import ODD_VALUES
from tests.utils.build_platform_documents import worker_document
from tests.utils.build_scheduling import SchedulerHarness, job, worker_entry

FIELDS = sorted({*worker_document(), "drainRemainingMs"})

IDS = st.one_of(
    st.text(max_size=12),
    st.text("abc-1", min_size=190, max_size=260),
    st.sampled_from(["w9", "\ufffd", "w 9", "w\r\n9", "w\x009"]),
)

VALUES = st.one_of(
    ODD_VALUES,
    st.text(max_size=300),
    st.sampled_from(["10.0.0.1:1", "10.0.0.1:65536", "h:1", "[::1]:1", "1.1.1.1:"]),
    st.dictionaries(st.sampled_from(["cpu", "gpu"]), st.integers(-(2**60), 2**60)),
    st.lists(st.text(max_size=4), max_size=3),
)


class EncodingClient:
    """Encodes each call as it would be written, and answers none."""

    def __init__(self) -> None:
        """Start without calls."""
        self.requests: list[bytes] = []

    async def call(
        self,
        address: http.Address,
        method: str,
        target: str,
        _deadline: Instant,
        body: bytes | None = None,
        headers: str = "",
        may_send: Callable[[], bool] = lambda: True,
        question: http.PeerQuestion | None = None,
    ) -> CallError:
        assert may_send()
        assert question is not None
        http._encode_request(address, "POST", question.target, question.body, headers)
        self.requests.append(
            http._encode_request(address, method, target, body, headers)
        )
        return CallError(CallErrorKind.NO_REPLY, "no reply")


def poll_all(harness: SchedulerHarness) -> EncodingClient:
    """Send all polls of a holder through the client of workers."""
    client = EncodingClient()
    any_client: Any = client
    calls = WorkerCalls(any_client)
    for poll in harness.take_polls():
        request = PollRequest(
            Epoch(7), poll.ack_cursor, poll.lease_end_clock_ms, poll.wait_ms
        )
        sending = calls.poll(poll.address, poll.incarnation, request, Instant(0.0))
        try:
            sending.send(None)
        except StopIteration:
            continue
    return client


@given(IDS, st.dictionaries(st.sampled_from(FIELDS), VALUES, max_size=3))
def test_a_registration_that_is_accepted_can_be_polled_and_stored(
    worker_id: str, changes: dict[str, Any]
) -> None:
    document = worker_document(**changes)
    decoded = decode_worker(worker_id, orjson.dumps(document))
    entries = [worker_entry("w1")]
    if isinstance(decoded, Success):
        entries.append(decoded.unwrap())
    harness = SchedulerHarness()
    harness.scheduler.set_registered_workers(entries, harness.now)
    harness.submit_job(job())
    harness.tick(0.1)
    client = poll_all(harness)
    assert len(client.requests) == len(entries)
    assert all(request.count(b"\r\n\r\n") == 1 for request in client.requests)
    harness.tick(0.5)
    for key, value in harness.store_pending().items():
        row = KeyedRecord(key, value)
        assert store._encode_record(row)
        assert record_bytes(row) <= DEFAULT_MAX_RECORD_BYTES

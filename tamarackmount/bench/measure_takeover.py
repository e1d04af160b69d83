"""Measures what a new owner reads from each peer, and what restoring it costs."""

from returns.result import Failure

from tamarackmount.bench.costs import Cost
from tamarackmount.bench.measuring import (
    Line,
    SamplingOptions,
    cpu_seconds,
    measure_line,
)
from tamarackmount.bench.synthetic_data import (
    DATA_CENTRE,
    START_TIME,
    make_record,
    team_id_for,
)
from tamarackmount.ids import Epoch, Instant, MemberId, RequestId
from tamarackmount.internal.codec import Envelope
from tamarackmount.internal.member_codec import decode, encode
from tamarackmount.kernel.dispatcher import Dispatcher
from tamarackmount.kernel.job_effects import SchedulerTiming
from tamarackmount.kernel.job_part import RECORDS_PER_MESSAGE
from tamarackmount.kernel.job_record_store import JobRecordStore
from tamarackmount.kernel.messages import (
    AttemptEntry,
    AttemptState,
    HoldingsReport,
    JobsHeld,
    PeerMessage,
)
from tamarackmount.kernel.request_effects import RequestTiming
from tamarackmount.kernel.scheduler import Scheduler

PEER = MemberId("dc-01-entry-02")
OWNER = MemberId("dc-01-entry-01")
EPOCH = Epoch(131_072)
ATTEMPT_KEEP_MS = 1_800_000


def measure_takeover(sampling: SamplingOptions) -> dict[Cost, Line]:
    """Measure reading and restoring job records, and reading holdings."""
    jobs = sampling.sizes(100, 500, 1_000)
    attempts = sampling.sizes(200, 1_000, 4_000)
    return {
        Cost.TAKEOVER: measure_line(jobs, _read_records, sampling.repeats),
        Cost.RESTORE: measure_line(
            sampling.sizes(100, 250, 500), _restore, sampling.repeats
        ),
        Cost.RESTORE_MANY: measure_line(
            sampling.sizes(1_000, 3_000, 6_000), _restore, sampling.repeats
        ),
        Cost.TAKEOVER_BYTES: measure_line(
            jobs, lambda size: float(sum(map(len, _record_messages(size)))), 1
        ),
        Cost.HOLDINGS: measure_line(attempts, _read_holdings, sampling.repeats),
        Cost.HOLDINGS_BYTES: measure_line(
            attempts, lambda size: float(len(_holdings_message(size))), 1
        ),
    }


def _record_messages(jobs: int) -> list[bytes]:
    texts = [make_record(number) for number in range(jobs)]
    starts = range(0, jobs, RECORDS_PER_MESSAGE)
    chunks = [texts[start : start + RECORDS_PER_MESSAGE] for start in starts]
    return [
        encode(Envelope(PEER, JobsHeld(EPOCH, chunk, more=False))) for chunk in chunks
    ]


def _read_records(jobs: int) -> float:
    frames = _record_messages(jobs)
    return cpu_seconds(lambda: _store_records(frames))


def _store_records(frames: list[bytes]) -> JobRecordStore:
    store = JobRecordStore()
    for frame in frames:
        message = _decode_envelope(frame).message
        if isinstance(message, JobsHeld):
            store.merge(message.records, START_TIME)
    return store


def _restore(jobs: int) -> float:
    texts = [make_record(number) for number in range(jobs)]
    scheduler = Scheduler(DATA_CENTRE, OWNER, EPOCH, SchedulerTiming(), START_TIME)
    return cpu_seconds(lambda: scheduler.restore(texts, START_TIME))


def _holdings_message(attempts: int) -> bytes:
    entries = [
        AttemptEntry(
            team_id=team_id_for(number),
            request_id=RequestId(f"req-{number:010}"),
            state=AttemptState.ANSWERED,
            keep_ms=ATTEMPT_KEEP_MS,
        )
        for number in range(attempts)
    ]
    return encode(Envelope(PEER, HoldingsReport(EPOCH, [], entries)))


def _read_holdings(attempts: int) -> float:
    frame = _holdings_message(attempts)
    dispatcher = Dispatcher(EPOCH, OWNER, RequestTiming(), START_TIME)
    dispatcher.set_members(frozenset({OWNER, PEER}), START_TIME)
    return cpu_seconds(lambda: _merge_holdings(dispatcher, frame, START_TIME))


def _merge_holdings(dispatcher: Dispatcher, frame: bytes, now: Instant) -> None:
    message = _decode_envelope(frame).message
    if isinstance(message, HoldingsReport):
        dispatcher.holdings_reported(PEER, message, now)


def _decode_envelope(frame: bytes) -> Envelope[PeerMessage]:
    decoded = decode(frame)
    if isinstance(decoded, Failure):
        raise RuntimeError(f"an encoded message cannot be decoded: {decoded.failure()}")
    return decoded.unwrap()

"""What a new owner collects from each peer, and what reading it costs."""

from returns.result import Failure

from tamarackmount.bench.costs import Cost
from tamarackmount.bench.loads import HERE, START, record_of, team_of
from tamarackmount.bench.measuring import Effort, Line, cpu_seconds, measure_line
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


def measure_takeover(effort: Effort) -> dict[Cost, Line]:
    """Measure the collection of job records and of holdings."""
    jobs = effort.sizes(100, 500, 1_000)
    attempts = effort.sizes(200, 1_000, 4_000)
    return {
        Cost.TAKEOVER: measure_line(jobs, _read_records, effort.repeats),
        Cost.RESTORE: measure_line(
            effort.sizes(100, 250, 500), _restore, effort.repeats
        ),
        Cost.RESTORE_MANY: measure_line(
            effort.sizes(1_000, 3_000, 6_000), _restore, effort.repeats
        ),
        Cost.TAKEOVER_BYTES: measure_line(
            jobs, lambda size: float(sum(map(len, _record_messages(size)))), 1
        ),
        Cost.HOLDINGS: measure_line(attempts, _read_holdings, effort.repeats),
        Cost.HOLDINGS_BYTES: measure_line(
            attempts, lambda size: float(len(_holdings_message(size))), 1
        ),
    }


def _record_messages(jobs: int) -> list[bytes]:
    texts = [record_of(number) for number in range(jobs)]
    starts = range(0, jobs, RECORDS_PER_MESSAGE)
    chunks = [texts[start : start + RECORDS_PER_MESSAGE] for start in starts]
    return [
        encode(Envelope(PEER, JobsHeld(EPOCH, chunk, more=False))) for chunk in chunks
    ]


def _read_records(jobs: int) -> float:
    frames = _record_messages(jobs)
    return cpu_seconds(lambda: _hold(frames))


def _hold(frames: list[bytes]) -> JobRecordStore:
    held = JobRecordStore()
    for frame in frames:
        message = _decoded(frame).message
        if isinstance(message, JobsHeld):
            held.take(message.records, START)
    return held


def _restore(jobs: int) -> float:
    texts = [record_of(number) for number in range(jobs)]
    scheduler = Scheduler(HERE, OWNER, EPOCH, SchedulerTiming(), START)
    return cpu_seconds(lambda: scheduler.restore(texts, START))


def _holdings_message(attempts: int) -> bytes:
    entries = [
        AttemptEntry(
            team_id=team_of(number),
            request_id=RequestId(f"req-{number:010}"),
            state=AttemptState.ANSWERED,
            keep_ms=ATTEMPT_KEEP_MS,
        )
        for number in range(attempts)
    ]
    return encode(Envelope(PEER, HoldingsReport(EPOCH, [], entries)))


def _read_holdings(attempts: int) -> float:
    frame = _holdings_message(attempts)
    dispatcher = Dispatcher(EPOCH, OWNER, RequestTiming(), START)
    dispatcher.set_members(frozenset({OWNER, PEER}), START)
    return cpu_seconds(lambda: _take_holdings(dispatcher, frame, START))


def _take_holdings(dispatcher: Dispatcher, frame: bytes, now: Instant) -> None:
    message = _decoded(frame).message
    if isinstance(message, HoldingsReport):
        dispatcher.holdings_reported(PEER, message, now)


def _decoded(frame: bytes) -> Envelope[PeerMessage]:
    decoded = decode(frame)
    if isinstance(decoded, Failure):
        raise RuntimeError(f"an encoded message is not readable: {decoded.failure()}")
    return decoded.unwrap()

"""Builders of the data that a run of the harness collects."""

from collections.abc import Mapping, Sequence

from tamarackmount.demo.checks import RunData
from tamarackmount.demo.records import (
    Attempt,
    DisturbanceWindow,
    Ending,
    RequestRecord,
)
from tamarackmount.ids import MemberId, QueueName, RequestId, WorkspaceId

FIRST_MEMBER = MemberId("dc1-m1")
SECOND_MEMBER = MemberId("dc1-m2")


def build_attempt(
    ending: Ending = Ending.ANSWERED,
    request_id: str = "r1",
    via: MemberId = FIRST_MEMBER,
    started: float = 10.0,
    ended: float = 11.0,
    error: str = "",
    wrong: bool = False,
) -> Attempt:
    return Attempt(
        RequestId(request_id), via, started, ended, ending, error, wrong=wrong
    )


def build_record(*attempts: Attempt, idempotent: bool = False) -> RequestRecord:
    return RequestRecord(
        WorkspaceId("retail"), QueueName("counter"), idempotent, list(attempts)
    )


def build_run_data(
    *records: RequestRecord,
    executions: Mapping[str, int] | None = None,
    windows: Sequence[DisturbanceWindow] = (),
) -> RunData:
    """Return run data with one answered request in addition to ``records``."""
    clean = build_record(build_attempt(request_id="clean", started=1.0, ended=2.0))
    counts = {"clean": 1, **(executions or {})}
    return RunData(
        records=[clean, *records],
        windows=windows,
        execution_count_by_id={RequestId(name): n for name, n in counts.items()},
    )

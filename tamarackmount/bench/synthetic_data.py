"""Synthetic inputs of the measurements: members, documents, VMs, jobs and records."""

import hashlib
import json

from tamarackmount.adapters.log_schema import RecordPage, StoredRecord
from tamarackmount.adapters.vm_schema import Vm, VmKind
from tamarackmount.ids import (
    ConfigPath,
    DataCentreId,
    Epoch,
    Incarnation,
    Instant,
    JobId,
    MemberId,
    Offset,
    RackId,
    RecordId,
    WorkerId,
    WorkspaceId,
)
from tamarackmount.job_spec import JobKind, JobSpec
from tamarackmount.kernel.job_effects import ListedWorker
from tamarackmount.kernel.job_records import record_text
from tamarackmount.kernel.jobs import Job
from tamarackmount.kernel.log_records import ConfigChange, JobRecords, record_to_text
from tamarackmount.kernel.membership import Member
from tamarackmount.kernel.messages import JobAction, JobCall
from tamarackmount.kernel.node import Node, NodeTiming
from tamarackmount.resources import Resources

DATA_CENTRE = DataCentreId("dc-01")
START_TIME = Instant(1_000.0)
TASK_CORES = 1
RUN_MS = 60_000
WORKER_CAPACITY = Resources(32_000, 65_536, 0)
WORKERS_PER_RACK = 5


def make_members(data_centres: int, entry_vms: int) -> list[Member]:
    """Return the members of a fleet."""
    return [
        Member(
            MemberId(f"dc-{number:02}-entry-{index:02}"),
            DataCentreId(f"dc-{number:02}"),
        )
        for number in range(1, data_centres + 1)
        for index in range(1, entry_vms + 1)
    ]


def make_node(members: list[Member], index: int = 0) -> Node:
    """Return the newly started node of one member."""
    me = members[index]
    peers = [member for member in members if member.id != me.id]
    return Node(me, peers, Incarnation(1), NodeTiming(), START_TIME)


def team_document(number: int) -> str:
    """Return the configuration document of a team with two keys and a ceiling."""
    hashes = [
        hashlib.sha256(f"{number}/{key}".encode()).hexdigest() for key in range(2)
    ]
    return (
        f"share = {1 + number % 4}.0\n\n[ceiling]\nrunning_tasks = 4000\n"
        "running_requests = 800\ncores = 8000\nmemory_gib = 16000\n\n"
        f'[keys.counter]\nsha256 = "{hashes[0]}"\n\n'
        f'[keys.press]\nsha256 = "{hashes[1]}"\n'
    )


def make_change(number: int, expected: int = 0, text: str = "") -> ConfigChange:
    """Return a change of one team's document."""
    return ConfigChange(
        path=ConfigPath(f"teams/team-{number:03}"),
        expected=Offset(expected),
        text=text or team_document(number),
    )


def make_page(texts: list[str], first: int = 1) -> RecordPage:
    """Return a page of records from the offset ``first`` to the end of the log."""
    records = [
        StoredRecord(
            offset=Offset(first + index),
            id=RecordId(f"dc-02-entry-01/1764791463123/{first + index}"),
            body=text,
        )
        for index, text in enumerate(texts)
    ]
    return RecordPage(
        first_offset=Offset(1),
        next_offset=Offset(first + len(texts)),
        records=records,
    )


def configured_node(members: list[Member], documents: int) -> Node:
    """Return a node that has read ``documents`` team documents from the log."""
    node = make_node(members)
    texts = [record_to_text(make_change(number)) for number in range(documents)]
    node.log_read(make_page(texts), START_TIME, START_TIME)
    return node


def make_vms(count: int, data_centres: int) -> list[Vm]:
    """Return workers that are spread over the data centres."""
    return [
        Vm(
            id=f"worker-{number:05}",
            kind=VmKind.WORKER,
            data_centre=DataCentreId(f"dc-{number % data_centres + 1:02}"),
            rack=RackId(f"rack-{number // data_centres // WORKERS_PER_RACK:03}"),
            host=f"10.{number % data_centres}.{number // 250}.{number % 250}",
            port=7_000,
            millicores=WORKER_CAPACITY.millicores,
            memory_mib=WORKER_CAPACITY.memory_mib,
        )
        for number in range(count)
    ]


def make_workers(count: int) -> list[ListedWorker]:
    """Return the workers of one data centre."""
    return [
        ListedWorker(
            WorkerId(f"worker-{number:05}"),
            f"10.1.{number // 250}.{number % 250}",
            7_000,
            RackId(f"rack-{number // WORKERS_PER_RACK:03}"),
            WORKER_CAPACITY,
        )
        for number in range(count)
    ]


def team_id_for(number: int) -> WorkspaceId:
    """Return the team that submits the job with this number."""
    return WorkspaceId(f"team-{number % 340:03}")


def make_submit_call(number: int, tasks: int, kind: JobKind = JobKind.BATCH) -> JobCall:
    """Return the call that submits a job."""
    spec = {
        "id": f"render-{number:06}",
        "kind": kind.value,
        "tasks": tasks,
        "cores": TASK_CORES,
        "memory_gib": 2,
        "run_ms": None if kind is JobKind.SERVICE else RUN_MS,
    }
    return JobCall(
        number, JobAction.SUBMIT, team_id_for(number), JobId(""), json.dumps(spec)
    )


def make_record(number: int, data_centre: DataCentreId = DATA_CENTRE) -> str:
    """Return the record of an accepted job with 20 tasks."""
    team = team_id_for(number)
    name = f"render-{number:06}"
    spec = JobSpec.model_validate_json(make_submit_call(number, 20).spec)
    job = Job(JobId(f"{data_centre}:{team}:{name}"), team, spec)
    job.epoch = Epoch(65_536)
    job.version = 2
    job.accepted_number = number
    return record_text(job)


def make_log_records(count: int, data_centre: DataCentreId) -> list[str]:
    """Return log records with one job record each."""
    return [
        record_to_text(
            JobRecords(
                data_centre=data_centre, records=[make_record(number, data_centre)]
            )
        )
        for number in range(count)
    ]

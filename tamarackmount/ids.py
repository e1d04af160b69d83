"""Identifiers and scalar types that the whole system shares."""

from typing import NewType

MemberId = NewType("MemberId", str)
"""Name of an entry VM, unique in the fleet."""

DataCentreId = NewType("DataCentreId", str)
"""Name of a data centre."""

RackId = NewType("RackId", str)
"""Name of a rack inside a data centre."""

WorkerId = NewType("WorkerId", str)
"""Name of a worker VM, unique in the fleet."""

UpstreamId = NewType("UpstreamId", str)
"""Name of an upstream instance, unique in the fleet."""

WorkspaceId = NewType("WorkspaceId", str)
"""Name of a workspace, which the older stack calls a team."""

QueueName = NewType("QueueName", str)
"""Name of a queue that callers send requests or jobs to."""

RequestId = NewType("RequestId", str)
"""Name that a caller gives to a request, unique within its team."""

TicketId = NewType("TicketId", str)
"""Name of one attempt to get an upstream slot, unique in the fleet."""

JobId = NewType("JobId", str)
"""Name of a job, unique in the fleet."""

TaskId = NewType("TaskId", str)
"""Name of a task: its job's id and its index, as ``<job>/<index>``."""

KeyHash = NewType("KeyHash", str)
"""Lower-case hexadecimal SHA-256 of a key; the key itself is never stored."""

ConfigPath = NewType("ConfigPath", str)
"""Path of one configuration document, such as ``teams/retail``."""

RecordId = NewType("RecordId", str)
"""Unique name that a writer gives to a log record; it shows whether an append whose
reply was lost was carried out."""

Offset = NewType("Offset", int)
"""Position of a record in the platform's log."""

Epoch = NewType("Epoch", int)
"""Fencing token of a holder or of a data centre's owner; a higher epoch supersedes a
lower one."""

Incarnation = NewType("Incarnation", int)
"""Number of one process of a member; later processes have higher numbers."""

Instant = NewType("Instant", float)
"""Reading of the local monotonic clock, in seconds; never sent to another process."""

"""Accepted jobs, each with the configuration of its queue at that time."""

from dataclasses import dataclass

from tamarackmount.ids import JobId, QueueName, WorkspaceId
from tamarackmount.scheduling.domain.fleet_config import Queue
from tamarackmount.scheduling.domain.model import JobSpec, ServiceName


@dataclass(frozen=True, slots=True)
class AcceptedJob:
    """A job whose own record the store holds.

    ``terms`` is the configuration of its queue when the job was accepted; it applies if
    the queue is no longer configured.
    """

    job_id: JobId
    terms: Queue
    workspace_id: WorkspaceId
    accepted_unix_ms: int
    spec: JobSpec

    @property
    def queue_name(self) -> QueueName:
        """The queue that the job was submitted to."""
        return self.terms.name

    @property
    def service(self) -> ServiceName:
        """The pool of workers that runs the job."""
        return self.terms.service

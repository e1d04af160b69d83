"""Jobs that the store holds, with the terms that they were accepted under."""

from dataclasses import dataclass

from tamarackmount.ids import JobId, QueueName, TeamId
from tamarackmount.scheduling.fleet_config import Queue
from tamarackmount.scheduling.model import JobSpec, ServiceName


@dataclass(frozen=True, slots=True)
class AcceptedJob:
    """A job that the store holds.

    ``terms`` are those of its queue when it came; they count once the configuration
    has dropped the queue.
    """

    job_id: JobId
    terms: Queue
    team_id: TeamId
    accepted_unix_ms: int
    spec: JobSpec

    @property
    def queue(self) -> QueueName:
        """The queue that it was handed in to."""
        return self.terms.name

    @property
    def service(self) -> ServiceName:
        """The pool of workers that runs it."""
        return self.terms.service

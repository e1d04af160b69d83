"""``tamarackmount job ...``: submit, inspect, watch and cancel jobs."""

import datetime
import json
from typing import Any, ClassVar

from cleo.helpers import argument, option
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option
from pydantic import JsonValue
from returns.result import Failure, Result, Success

from tamarackmount.checks import parse_toml, place_problems
from tamarackmount.cli.base import ApiCommand, EnvironmentCommand, UsageError
from tamarackmount.cli.tables import format_table
from tamarackmount.client import Client
from tamarackmount.client_views import (
    ENDED_JOB_STATES,
    CallError,
    CallOutcome,
    ExplanationView,
    JobListView,
    JobState,
    JobView,
)
from tamarackmount.job_spec import parse_job_spec
from tamarackmount.problems import FieldProblem, Problem, describe
from tamarackmount.status import ExitStatus

DEFAULT_INTERVAL_MS = 1_000
"""Default time between two polls of a watched job, in milliseconds."""

MAX_FAILED_POLLS = 10
"""Number of polls in a row that may fail; watching ends at the next failure."""

_EXIT_STATUSES_BY_STATE = {
    JobState.SUCCEEDED: ExitStatus.OK,
    JobState.FAILED: ExitStatus.JOB_FAILED,
    JobState.CANCELLED: ExitStatus.JOB_FAILED,
    JobState.UNKNOWN: ExitStatus.UNKNOWN_OUTCOME,
}

_JOB_ARGUMENT = argument("job", "Id of the job, such as dc1:retail:nightly-7.")


class JobSubmitCommand(ApiCommand):
    """Submit the job that a TOML file specifies."""

    name = "job submit"
    description = "Submit a job; submitting the same file again changes nothing."
    arguments: ClassVar[list[Argument]] = [
        argument("file", "TOML file with the job specification, or - for stdin."),
    ]

    def run_command(self) -> ExitStatus:
        """Check the file, then submit the job."""
        name = self.argument("file")
        client = self.make_client()
        checked = check_job_file(self.read_text(name), name)
        if isinstance(checked, Failure):
            self.env.print_error(describe(checked.failure()))
            return ExitStatus.INVALID
        spec = checked.unwrap()
        return self.env.runner.run(lambda: self._submit(client, spec))

    async def _submit(self, client: Client, spec: dict[str, JsonValue]) -> ExitStatus:
        result = await client.submit_job(spec)
        if isinstance(result, Failure):
            return self._report_failure(result.failure())
        return self.report(result, lambda job: self.env.print(_format_job(job)))

    def _report_failure(self, error: CallError) -> ExitStatus:
        status = self.fail(error)
        if error.outcome is CallOutcome.UNKNOWN:
            self.env.print_error("Submitting the same file again is safe.")
        elif status is ExitStatus.CONFLICT:
            self.env.print_error("Give the job another id, or submit the old file.")
        return status


class JobViewCommand(ApiCommand):
    """Print one job."""

    name = "job view"
    description = "Print the state of a job."
    arguments: ClassVar[list[Argument]] = [_JOB_ARGUMENT]

    async def call_api(self, client: Client) -> ExitStatus:
        """Read and print the job."""
        result = await client.view_job(self.argument("job"))
        return self.report(result, lambda job: self.env.print(_format_job(job)))


class JobListCommand(ApiCommand):
    """Print the team's jobs."""

    name = "job list"
    description = "Print the jobs of the key's team."

    async def call_api(self, client: Client) -> ExitStatus:
        """Read and print the jobs."""
        result = await client.list_jobs()
        return self.report(result, self._show)

    def _show(self, view: JobListView) -> None:
        rows = [
            [
                job.id,
                job.kind,
                job.state.value,
                job.durability,
                _format_counts(job),
                job.reason,
            ]
            for job in view.jobs
        ]
        titles = ["JOB", "KIND", "STATE", "DURABILITY", "TASKS", "REASON"]
        self.env.print(format_table(titles, rows))


class JobExplainCommand(ApiCommand):
    """Print the state of each task of a job and the reason for it."""

    name = "job explain"
    description = "Print where each task of a job is or what it waits for, and why."
    arguments: ClassVar[list[Argument]] = [_JOB_ARGUMENT]

    async def call_api(self, client: Client) -> ExitStatus:
        """Read and print the explanation."""
        result = await client.explain_job(self.argument("job"))
        return self.report(result, self._show)

    def _show(self, view: ExplanationView) -> None:
        rows = [[task.task, task.state, task.worker, task.why] for task in view.tasks]
        self.env.print(format_table(["TASK", "STATE", "WORKER", "WHY"], rows))


class JobCancelCommand(ApiCommand):
    """Cancel a job."""

    name = "job cancel"
    description = "Cancel a job; its running tasks are stopped."
    arguments: ClassVar[list[Argument]] = [_JOB_ARGUMENT]

    async def call_api(self, client: Client) -> ExitStatus:
        """Cancel the job and print it."""
        result = await client.cancel_job(self.argument("job"))
        return self.report(result, lambda job: self.env.print(_format_job(job)))


class JobWatchCommand(ApiCommand):
    """Print a job whenever it changes, until it ends."""

    name = "job watch"
    description = (
        "Print a job whenever it changes, until it ends; exit with 8 if it failed "
        "or was cancelled."
    )
    arguments: ClassVar[list[Argument]] = [_JOB_ARGUMENT]
    options: ClassVar[list[Option]] = [
        option(
            "interval-ms",
            None,
            f"Milliseconds between two polls (default: {DEFAULT_INTERVAL_MS}).",
            flag=False,
        ),
    ]

    def prepare(self) -> None:
        """Check the interval."""
        if self._interval_ms() < 1:
            raise UsageError("--interval-ms takes a whole number above 0")

    async def call_api(self, client: Client) -> ExitStatus:
        """Poll the job until it ends or too many polls in a row fail."""
        last_shown: JobView | None = None
        failed_polls = 0
        while True:
            result = await client.view_job(self.argument("job"))
            if isinstance(result, Failure):
                failed_polls += 1
                if _is_permanent(result.failure()) or failed_polls > MAX_FAILED_POLLS:
                    return self.fail(result.failure())
            else:
                failed_polls = 0
                job = result.unwrap()
                if job != last_shown:
                    self._show(job)
                last_shown = job
                if job.state in ENDED_JOB_STATES:
                    return _EXIT_STATUSES_BY_STATE[job.state]
            await self.env.sleep(self._interval_ms() / 1_000)

    def _interval_ms(self) -> int:
        interval_ms = self.integer_option("interval-ms")
        return DEFAULT_INTERVAL_MS if interval_ms is None else interval_ms

    def _show(self, job: JobView) -> None:
        """Print the job on one line, also as JSON."""
        if self.wants_json:
            self.env.print(job.model_dump_json())
        else:
            self.env.print(_format_job(job))
        self.env.stdout.flush()


JOB_COMMANDS: list[type[EnvironmentCommand]] = [
    JobSubmitCommand,
    JobViewCommand,
    JobListCommand,
    JobExplainCommand,
    JobCancelCommand,
    JobWatchCommand,
]
"""All commands about jobs."""


def check_job_file(
    text: str, source: str
) -> Result[dict[str, JsonValue], list[Problem]]:
    """Check the TOML text of a job file; return the specification as JSON values."""
    parsed = parse_toml(text, source)
    if isinstance(parsed, Failure):
        return parsed
    spec = _to_json_object(parsed.unwrap())
    checked = parse_job_spec(json.dumps(spec))
    if isinstance(checked, Failure):
        problems = [FieldProblem((e.field,), e.message) for e in checked.failure()]
        return Failure(place_problems(problems, text, source))
    return Success(spec)


def _is_permanent(error: CallError) -> bool:
    """Return whether polling again would fail with the same error."""
    return 400 <= error.status < 500 and not error.retry_after_ms


def _format_job(job: JobView) -> str:
    text = (
        f"{job.id} {job.state.value} "
        f"({_format_counts(job)}; durability {job.durability})"
    )
    return f"{text}: {job.reason}" if job.reason else text


def _format_counts(job: JobView) -> str:
    counts = [f"{count} {state}" for state, count in job.tasks.items() if count]
    return ", ".join(counts) or "no tasks"


def _to_json_object(values: dict[str, Any]) -> dict[str, JsonValue]:
    """Return TOML values as JSON values; dates and times become ISO 8601 strings."""
    return {name: _to_json(value) for name, value in values.items()}


def _to_json(value: Any) -> JsonValue:
    if isinstance(value, dict):
        return _to_json_object(value)
    if isinstance(value, list):
        return [_to_json(item) for item in value]
    if isinstance(value, datetime.date | datetime.time):
        return value.isoformat()
    return value  # type: ignore[no-any-return]

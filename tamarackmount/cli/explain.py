"""``tamarackmount explain``: what became of a job, from saved logs."""

from typing import ClassVar

from cleo.helpers import argument
from cleo.io.inputs.argument import Argument

from tamarackmount.cli.base import EnvironmentCommand
from tamarackmount.explain import LogLine, explain, read_lines
from tamarackmount.status import ExitStatus


class ExplainCommand(EnvironmentCommand):
    """Tell from the logs of all entry VMs what became of one job."""

    name = "explain"
    description = "Tell what became of a job, from saved logs of the entry VMs."
    arguments: ClassVar[list[Argument]] = [
        argument("id", "The job's id."),
        argument("logs", "Log files, or - for stdin.", multiple=True),
    ]

    def run_command(self) -> ExitStatus:
        """Read every log and print the verdict with the lines behind it."""
        job_id = self.argument("id")
        lines = read_lines(self.read_text(name) for name in self.argument("logs"))
        found = explain(job_id, lines)
        if found is None:
            self.env.print_error(f"explain: no line names job {job_id}")
            return ExitStatus.ERROR
        if self.wants_json:
            rows = {
                "verdict": found.verdict,
                "lines": [_object(line) for line in found.lines],
                "context": [_object(line) for line in found.context],
            }
            self.print_json(rows)
            return ExitStatus.OK
        self.env.print(f"{job_id}: {found.verdict}")
        for line in sorted((*found.lines, *found.context), key=lambda row: row.time):
            self.env.print(str(line))
        return ExitStatus.OK


def _object(line: LogLine) -> dict[str, object]:
    head = {"time": line.time, "source": line.source, "message": line.message}
    return {**head, **line.fields}

"""``tamarackmount explain``: report what happened to a job, from saved logs.

The logs are those of the nodes on the platform's entry VMs; see
:mod:`tamarackmount.explain`.
"""

from typing import ClassVar

from cleo.helpers import argument
from cleo.io.inputs.argument import Argument

from tamarackmount.cli.base import EnvironmentCommand
from tamarackmount.explain import LogLine, explain, read_lines
from tamarackmount.status import ExitStatus


class ExplainCommand(EnvironmentCommand):
    """Report what happened to one job, from the logs of all entry VMs."""

    name = "explain"
    description = "Report what happened to a job, from saved logs of the entry VMs."
    arguments: ClassVar[list[Argument]] = [
        argument("id", "The job's id."),
        argument("logs", "Log files, or - for stdin.", multiple=True),
    ]

    def run_command(self) -> ExitStatus:
        """Read the logs; print the verdict and the log lines that support it."""
        job_id = self.argument("id")
        lines = read_lines(self.read_log(name) for name in self.argument("logs"))
        explanation = explain(job_id, lines)
        if explanation is None:
            self.env.print_error(f"explain: no log line names job {job_id}")
            return ExitStatus.ERROR
        if self.wants_json:
            value = {
                "verdict": explanation.verdict,
                "lines": [_line_object(line) for line in explanation.lines],
                "context": [_line_object(line) for line in explanation.context],
            }
            self.print_json(value)
            return ExitStatus.OK
        self.env.print(f"{job_id}: {explanation.verdict}")
        for line in sorted(
            (*explanation.lines, *explanation.context), key=lambda line: line.time
        ):
            self.env.print(str(line))
        return ExitStatus.OK


def _line_object(line: LogLine) -> dict[str, object]:
    common_fields = {"time": line.time, "source": line.source, "message": line.message}
    return {**common_fields, **line.fields}

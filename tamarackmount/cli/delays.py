"""``tamarackmount delays``: where late jobs lost their time, from saved logs.

The logs are those of the nodes on the platform's entry VMs; see
:mod:`tamarackmount.delays`.
"""

from collections import Counter, defaultdict
from collections.abc import Sequence
from typing import Any, ClassVar

from cleo.helpers import argument
from cleo.io.inputs.argument import Argument

from tamarackmount.cli.base import EnvironmentCommand
from tamarackmount.delays import (
    WINDOW_S,
    Cause,
    JobDelay,
    count_by_window,
    find_delays,
    is_harmed,
)
from tamarackmount.explain import read_lines
from tamarackmount.status import ExitStatus


class DelaysCommand(EnvironmentCommand):
    """Report the causes of late and lost jobs, from the logs of all entry VMs."""

    name = "delays"
    description = "Report where late jobs lost their time, from saved logs."
    arguments: ClassVar[list[Argument]] = [
        argument("logs", "Log files, or - for stdin.", multiple=True),
    ]

    def run_command(self) -> ExitStatus:
        """Read the logs; print counts by window and causes by queue."""
        lines = read_lines(self.read_log(name) for name in self.argument("logs"))
        delays = find_delays(lines)
        if not delays:
            self.env.print_error("delays: no log line tells of a job handed in")
            return ExitStatus.ERROR
        report = _report(delays)
        if self.wants_json:
            self.print_json(report)
            return ExitStatus.OK
        self.env.print(
            f"{report['jobs']} jobs, {report['late']} late, "
            f"{report['not_served']} not served, {report['unexplained']} unexplained"
        )
        for row in report["by_cause"]:
            self.env.print(
                f"{row['queue']}: {row['jobs']} jobs, {row['seconds']} s: "
                f"{row['cause']}"
            )
        for reason, count in report["unexplained_by_reason"].items():
            self.env.print(f"unexplained: {count} jobs: {reason}")
        for row in report["by_window"]:
            self.env.print(
                f"{row['queue']} from {row['from_s']} s: {row['handed_in']} handed in, "
                f"{row['late']} late, {row['not_done']} not done, "
                f"{row['refused']} refused"
            )
        return ExitStatus.OK


def _report(delays: Sequence[JobDelay]) -> dict[str, Any]:
    harmed = [delay for delay in delays if is_harmed(delay)]
    jobs = Counter((delay.queue, delay.cause) for delay in harmed)
    reasons = Counter(
        delay.unexplained for delay in harmed if delay.unexplained is not None
    )
    seconds: dict[tuple[str, Cause], float] = defaultdict(float)
    for delay in harmed:
        for cause, part in delay.seconds_by_cause.items():
            seconds[delay.queue, cause] += part
    return {
        "jobs": len(delays),
        "late": sum(delay.is_late for delay in delays),
        "not_served": sum(not delay.is_late for delay in harmed),
        "unexplained": sum(delay.unexplained is not None for delay in harmed),
        "unexplained_by_reason": {
            reason.value: count for reason, count in reasons.most_common()
        },
        "by_cause": [
            {
                "queue": queue,
                "cause": cause.value,
                "jobs": count,
                "seconds": round(seconds[queue, cause], 1),
            }
            for (queue, cause), count in jobs.most_common()
        ],
        "by_window": [
            {
                "queue": queue,
                "from_s": window * WINDOW_S,
                "handed_in": counts.handed_in,
                "late": counts.late,
                "not_done": counts.not_done,
                "refused": counts.refused,
            }
            for (queue, window), counts in count_by_window(delays).items()
        ],
    }

"""Exit statuses of the ``tamarackmount`` command; the numbers must not change."""

from enum import IntEnum


class ExitStatus(IntEnum):
    """How a run of the command ended."""

    OK = 0
    """Done, or answered."""

    ERROR = 1
    """Something local failed, such as reading a file."""

    USAGE = 2
    """The command line is wrong."""

    NOT_RUN = 3
    """Refused; nothing was run or changed."""

    UNKNOWN_OUTCOME = 4
    """It may or may not have been run or changed."""

    CONFLICT = 5
    """Another operator or submission came first; nothing was changed."""

    UNREACHABLE = 6
    """No entry VM was reached; nothing was run or changed."""

    INVALID = 7
    """A file, document or job specification is invalid."""

    JOB_FAILED = 8
    """The watched job failed or was cancelled."""

    UPSTREAM_ERROR = 9
    """With ``--check-status``: the upstream answered with status 400 or above."""

    NOT_ALLOWED = 10
    """The key is missing, unknown or revoked."""

    NOT_FOUND = 11
    """There is no such queue, job, document or key."""

    INTERRUPTED = 130
    """Stopped by Ctrl-C; a call in progress has an unknown outcome."""

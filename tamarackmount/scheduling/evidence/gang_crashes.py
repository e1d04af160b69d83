"""Crashes that ended runs of a gang, whichever of its members they are evidence of.

Members of a gang start together, also if another member crashed its worker the last
time. So a member that may crash its workers starts again with each run of the gang, and
all later crashes count towards the limits of its starts.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from itertools import pairwise, starmap

from tamarackmount.scheduling.domain.model import WorkerIncarnation
from tamarackmount.scheduling.jobs.run_numbers import FIRST_RUN_NUMBER_AFTER_TAKEOVER
from tamarackmount.scheduling.jobs.runs import StepState
from tamarackmount.scheduling.store.journal import CrashRecord

MIN_MEMBER_CRASHES = 2
"""Number of crashes under one member before a gang may be given up: the users ask for
two workers that crashed under the same task."""

LIMITING_CRASHES = 3
"""Number of crashes under one member from which on the users limit its starts."""

MAX_GANG_CRASHES = 20
"""Number of crashes, under any members, after which a gang is given up once one member
had ``MIN_MEMBER_CRASHES``. It bounds wide gangs whose members crash their workers in
turn."""


@dataclass(frozen=True, slots=True)
class GangCrashes:
    """The runs of a gang that ended with crashes.

    ``run_numbers`` are in ascending order. ``unattributed`` is the number of earlier
    runs of which it is not known which member was on the crashed worker.
    """

    run_numbers: Sequence[int]
    unattributed: int

    @property
    def total(self) -> int:
        """The number of runs."""
        return len(self.run_numbers) + self.unattributed

    def count_for_member(self, crashes: Iterable[CrashRecord]) -> int:
        """Return how many crashes count towards the limits of a member's starts.

        These are the ``crashes`` under it and, from the third of these on, all starts
        until the last crash under any member. Each of the unattributed ones may have
        been under it.
        """
        own = sorted(crash.run_number for crash in crashes)
        if len(own) >= MIN_MEMBER_CRASHES and self.total >= MAX_GANG_CRASHES:
            return self.total
        return self._count(own, self.run_numbers)

    def count_starts_for_member(
        self, crashes: Iterable[CrashRecord], last_run: int
    ) -> int:
        """Return the same, but with all starts until that of the run ``last_run``."""
        own = sorted(crash.run_number for crash in crashes)
        return self._count(own, [*self.run_numbers, last_run])

    def _count(self, own: Sequence[int], run_numbers: Iterable[int]) -> int:
        if len(own) < MIN_MEMBER_CRASHES:
            return len(own)
        earlier = min(self.unattributed, LIMITING_CRASHES)
        limiting = LIMITING_CRASHES - earlier
        if len(own) < limiting:
            return earlier + len(own)
        limited_from = own[limiting - 1] if limiting else 0
        # Crashes under the member may be widespread ones, which are left out otherwise.
        later = sorted(
            {number for number in (*own, *run_numbers) if number > limited_from}
        )
        if not limited_from:
            return LIMITING_CRASHES + len(later)
        starts = starmap(_count_starts, pairwise([limited_from, *later]))
        return LIMITING_CRASHES + sum(starts)


def _count_starts(after: int, until: int) -> int:
    """Return how many starts the numbers of two runs are apart.

    Starts that did not end with a crash count, but not the numbers that a takeover
    leaves out.
    """
    difference = until - after
    return difference if difference < FIRST_RUN_NUMBER_AFTER_TAKEOVER else 1


def is_unattributed(step: StepState, crash: CrashRecord) -> bool:
    """Tell whether any member of a gang may have been on the crashed worker."""
    return step.spec.gang and not crash.members


def gang_crashes(step: StepState, *, with_explained: bool) -> GangCrashes:
    """Return the crashes of a gang, other than widespread ones."""
    crashes = [
        crash
        for of_member in step.crashes_by_index.values()
        for crash in of_member
        if not crash.is_widespread and (with_explained or not crash.is_explained)
    ]
    unattributed: set[int | WorkerIncarnation] = {
        # Records of very early versions lack the number.
        crash.run_number or crash.worker
        for crash in crashes
        if not crash.members
    }
    numbers = {crash.run_number for crash in crashes if crash.members}
    return GangCrashes(sorted(numbers), len(unattributed))

"""Breaks the guards of the platform's scheduler one at a time: the tests must notice.

Run by ``make mutants``; prints each mutation with ``caught`` or ``SURVIVED`` and exits
non-zero if one survived. Outside CI, since each mutation runs its tests anew.
"""

import shutil
import subprocess
import sys
import tempfile
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).parents[2]
SCHEDULING = "tests/test_scheduling_*.py"
NODE = "tests/test_platform_node.py tests/test_claims.py tests/test_holder_authority.py"


@dataclass(frozen=True, slots=True)
class Mutant:
    """One change of a file, and the tests that have to fail with it."""

    guard: str
    path: str
    old: str
    new: str
    tests: str = SCHEDULING


MUTANTS = (
    Mutant(
        "checkpoints of waiting tasks are stored",
        "scheduling/scheduler_state.py",
        "if (0 if step.spec.gang else index) in step.checkpoints_by_index:",
        "if False:",
    ),
    Mutant(
        "only speculative steps have copies",
        "scheduling/runs.py",
        "return spec.speculative and not (spec.gang or spec.perpetual)",
        "return True",
    ),
    Mutant(
        "a copy in work is stopped when the other run is done",
        "scheduling/run_ends.py",
        "if run.task.index == index and run.number != ended.run:",
        "if False:",
    ),
    Mutant(
        "a worker that left an order unanswered gets no other",
        "scheduling/workers.py",
        "and not self.is_suspected",
        "",
    ),
    Mutant(
        "a claim's first number is drawn",
        "node/fenced_log.py",
        "secrets.randbelow(MAX_FIRST_SEQUENCE)",
        "0",
        NODE,
    ),
    Mutant(
        "a claim names the end of its topic",
        "node/claims.py",
        "started_unix_ms))], end\n",
        "started_unix_ms))]\n",
        NODE,
    ),
    Mutant(
        "a lost answer is not called not run",
        "node/submissions.py",
        "StoreOutcome.UNKNOWN if self.maybe_stored else StoreOutcome.NOT_STORED",
        "StoreOutcome.NOT_STORED",
        NODE,
    ),
    Mutant(
        "a node that has not read the store denies no job",
        "node/job_service.py",
        "PhaseLookupFailure.NOT_SUBMITTED\n"
        "            if is_whole\n"
        "            else PhaseLookupFailure.UNAVAILABLE",
        "PhaseLookupFailure.NOT_SUBMITTED",
        NODE,
    ),
    Mutant(
        "a holder without the store starts nothing",
        "scheduling/holder_authority.py",
        "        HolderAuthority.RENEW_ONLY\n"
        "        if heartbeat_age_s <= RENEWAL_LIMIT_S\n"
        "        else HolderAuthority.NONE",
        "        HolderAuthority.FULL",
        NODE,
    ),
    Mutant(
        "silence counts only while the store is read",
        "scheduling/holder_watch.py",
        "if now - self.last_read > MAX_READ_GAP_S:\n            return False",
        "if False:\n            return False",
        NODE,
    ),
    Mutant(
        "a lease has its clock margin",
        "scheduling/workers.py",
        "MIN_CLOCK_RATE = 0.98",
        "MIN_CLOCK_RATE = 1.2",
    ),
    Mutant(
        "a silent worker is not renewed",
        "scheduling/worker_leases.py",
        "if silent_since is not None "
        "and now > silent_since + RENEWAL_SILENCE_TIMEOUT_S:",
        "if False:",
    ),
    Mutant(
        "ends are stored before they are acknowledged",
        "scheduling/worker_leases.py",
        "ack_cursor=worker.stored_end",
        "ack_cursor=worker.known_end",
    ),
    Mutant(
        "a job is completed once that is stored",
        "scheduling/scheduler.py",
        "return JobPhase.RUNNING if job.phase.is_final else job.phase",
        "return job.phase",
    ),
    Mutant(
        "an end counts once",
        "scheduling/worker_leases.py",
        "if ended.number > worker.known_end:",
        "if True:",
    ),
    Mutant(
        "an order without an answer is stopped first",
        "scheduling/order_results.py",
        "if run.confirmed_at is None:\n        state.stop_run(run, now)",
        "state.drop_run(run, now)",
    ),
    Mutant(
        "a recorded run counts after a takeover",
        "scheduling/worker_leases.py",
        "    for text, number in record.runs:",
        "    for text, number in ():",
    ),
    Mutant(
        "a run that nobody wants blocks its task",
        "scheduling/placement.py",
        "if step.task(index) in state.orphaned_run_count_by_task:\n"
        "            continue",
        "if False:\n            continue",
    ),
    Mutant(
        "an order waits until the store holds its run",
        "scheduling/placement.py",
        "if state.write_ahead.is_enabled:",
        "if False:",
    ),
    Mutant(
        "orders leave at once only after the mark is stored",
        "scheduling/store_batches.py",
        "        if waits:\n            write_ahead.is_enabled = True",
        "        write_ahead.is_enabled = waits\n        if waits:",
    ),
    Mutant(
        "older tasks wait for unseen workers after a mark",
        "scheduling/placement.py",
        "is_unsure = step.job.is_restored and step.job.accepted.service in unseen",
        "is_unsure = False",
    ),
    Mutant(
        "a recorded order is checked again before it is sent",
        "scheduling/order_results.py",
        "run.phase is RunPhase.STARTING\n        and worker.can_start",
        "True",
    ),
    Mutant(
        "an order whose permission ended is not sent",
        "scheduling/order_results.py",
        "return step.advice.usable_ticket(order.incarnation, now) == order.ticket",
        "return True",
    ),
    Mutant(
        "a ceiling is kept",
        "scheduling/placement.py",
        "not most or has + one * count <= most * part",
        "True",
    ),
    Mutant(
        "room is counted until a run is surely over",
        "scheduling/workers.py",
        "self.used = self.used + run.amount",
        "self.used = self.used",
    ),
    Mutant(
        "attempts are counted",
        "scheduling/run_ends.py",
        "if count >= queue.max_attempts:",
        "if count > 99 * queue.max_attempts:",
    ),
    Mutant(
        "a draining worker gets nothing new",
        "scheduling/workers.py",
        "            and not self.entry.is_draining\n",
        "",
    ),
)


def main() -> int:
    """Apply every mutation to a copy; return 1 if any survives."""
    survived = [mutant for mutant in MUTANTS if not _is_caught(mutant)]
    print(f"{len(MUTANTS) - len(survived)} caught, {len(survived)} survived")
    return 1 if survived else 0


def _is_caught(mutant: Mutant) -> bool:
    with tempfile.TemporaryDirectory() as folder:
        copy = Path(folder)
        for name in ("tamarackmount", "tests", "pyproject.toml"):
            source = ROOT / name
            if source.is_dir():
                shutil.copytree(source, copy / name)
            else:
                shutil.copy(source, copy / name)
        path = copy / "tamarackmount" / mutant.path
        text = path.read_text(encoding="utf-8")
        if text.count(mutant.old) != 1:
            print(f"STALE     {mutant.guard}: its text is not there once")
            return False
        path.write_text(text.replace(mutant.old, mutant.new), encoding="utf-8")
        tests = [
            str(found.relative_to(copy))
            for pattern in mutant.tests.split()
            for found in sorted(copy.glob(pattern))
        ]
        command = [sys.executable, "-m", "pytest", "-x", "-q", *tests]
        run = subprocess.run(command, cwd=copy, capture_output=True, check=False)
    is_caught = run.returncode == 1
    print(f"{'caught' if is_caught else 'SURVIVED':9} {mutant.guard}")
    return is_caught


if __name__ == "__main__":
    sys.exit(main())

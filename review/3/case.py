"""A minion is cut off while its tasks end; some are run again after the cut."""

import sys
from pathlib import Path
from typing import Any

from review.standins.cell import Cell, Node, play
from review.standins.worker import Run

JOBS = 8
TASKS = 80
TASK_CPU = 50
WORK_MS = 4_000
CUT_S = 4.5
KEY = "key-packers"


def _job() -> dict[str, Any]:
    step = {
        "count": TASKS,
        "cpu": TASK_CPU,
        "requestedMemoryMb": 10,
        "estimatedMs": WORK_MS,
        "requirements": "b",
    }
    spec = f'{{"work_ms":{WORK_MS},"cpu":{TASK_CPU}}}'
    return {"spec": spec, "steps": [step]}


class Case:
    """Three nodes and six minions, one of which is of kind b."""

    def __init__(self, cell: Cell) -> None:
        """Set the deployment up."""
        self._cell = cell
        cell.nodes = [Node(cell, number, zone) for number, zone in enumerate("abc")]
        for number in range(6):
            cell.add_worker(f"m-{number}", "abc"[number % 3], 32_000, stop_ms=200)
        cell.workers[0].kind = "b"
        cell.put_config([{"name": "packers", "apiKeys": [KEY], "weight": 10}])
        self._started_after_done: list[Run] = []
        cell.on_run = self._note_start

    def _note_start(self, run: Run) -> None:
        done = {one.task for one, _, how in self._cell.runs if how == "done"}
        if run.task in done:
            self._started_after_done.append(run)

    def _is_noted(self, task: str) -> bool:
        """Tell whether a first end ``done`` is noted, with no lapse in between."""
        cell = self._cell
        ended = min(at for run, at, how in cell.runs if run.task == task)
        noted = [at for run, how, at in cell.noted if run.task == task]
        lapses = cell.workers[0].lapsed_at
        return any(
            not any(ended <= lapse <= at for lapse in lapses) for at in noted[:1]
        )

    def _check(self) -> None:
        """Report starts after an end ``done`` that was noted then or later."""
        twice = [run for run in self._started_after_done if self._is_noted(run.task)]
        for run in twice[:3]:
            self._cell.breach(
                f"TWICE: {run.task} starts as run {run.number} after a run of it has "
                "ended done, and that end is taken note of"
            )
        if len(twice) > 3:
            self._cell.breach(f"TWICE: {len(twice)} such starts in all")

    async def scenario(self) -> None:
        """Fill the minion with small tasks, and cut it off until they have ended."""
        cell = self._cell
        await cell.all_ready()
        await cell.sleep(2.0)
        for number in range(JOBS):
            await cell.submit(f"{number:016x}", KEY, _job())
        count = JOBS * TASKS
        await cell.until(lambda: len(cell.live) == count, 8, "all tasks run at once")
        worker = cell.workers[0]
        if cell.has_trouble:
            cell.cut(worker, True)
        await cell.sleep(CUT_S)
        cell.cut(worker, False)
        await cell.sleep(20.0)
        self._check()


if __name__ == "__main__":
    sys.exit(play(Path(__file__).with_name("record.txt"), Case))

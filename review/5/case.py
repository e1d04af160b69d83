"""Jobs that no minion has begun are missing from the number of waiting jobs."""

import sys
from pathlib import Path
from typing import Any

from review.standins.cell import Cell, Node, play
from review.standins.worker import Run

WORKER_CPU = 32_000
JOBS = 3
TASK_CPU = 8_000
VISIBLE_S = 3.0
ALLOWED_AGE_S = 2.0
TROUBLE_S = 6.5
KEY = "key-packers"


def _job(count: int, cpu: int, work_ms: int) -> dict[str, Any]:
    spec = f'{{"work_ms":{work_ms},"cpu":{cpu}}}'
    step = {
        "count": count,
        "cpu": cpu,
        "requestedMemoryMb": 512,
        "estimatedMs": work_ms,
    }
    return {"spec": spec, "steps": [step]}


class Case:
    """Three nodes and twelve minions, eleven of them full; one turns orders away."""

    def __init__(self, cell: Cell) -> None:
        """Set the deployment up."""
        self._cell = cell
        cell.nodes = [Node(cell, number, zone) for number, zone in enumerate("abc")]
        for number in range(12):
            cell.add_worker(f"m-{number}", "abc"[number % 3], WORKER_CPU, stop_ms=200)
        cell.put_config([{"name": "packers", "apiKeys": [KEY], "weight": 10}])
        self._begun: set[str] = set()
        self._accepted_at: dict[str, float] = {}
        cell.on_run = self._note_begun

    def _note_begun(self, run: Run) -> None:
        self._begun.add(run.task.split(".")[0])

    async def _submit(self, job: str, body: dict[str, Any]) -> None:
        await self._cell.submit(job, KEY, body)
        self._accepted_at[job] = self._cell.now()

    async def _check_count(self, node: Node) -> None:
        cell = self._cell
        asked_at = cell.now()
        status, answer = await cell.call(node, "GET", "", KEY)
        # Jobs that have not begun when the answer is there, and were accepted before.
        owed = sum(
            job not in self._begun and asked_at - at > VISIBLE_S + ALLOWED_AGE_S
            for job, at in self._accepted_at.items()
        )
        if status == 200 and answer["waiting"] < owed / 2:
            cell.breach(
                f"MIXED: {node.name} gives {answer['waiting']} waiting jobs, while "
                f"{owed} that were accepted more than 5 s before have not begun"
            )

    async def scenario(self) -> None:
        """Fill eleven minions; the twelfth turns the next jobs' orders away."""
        cell = self._cell
        await cell.all_ready()
        await cell.sleep(2.0)
        await self._submit("a" * 16, _job(11, WORKER_CPU, 60_000))
        await cell.until(lambda: len(cell.live) == 11, 15, "eleven minions are full")
        full = {run.worker for run in cell.live}
        last = next(one for one in cell.workers if one.name not in full)
        if cell.has_trouble:
            cell.record("turns orders away", worker=last.name)
            last.refuses_starts = True
        began_at = cell.now()
        for number in range(JOBS):
            await self._submit(f"{number:016x}", _job(1, TASK_CPU, 60_000))
        while cell.now() < began_at + TROUBLE_S - 0.2:
            await cell.sleep(0.4)
            for node in cell.nodes:
                await self._check_count(node)
        cell.record("takes orders again", worker=last.name)
        last.refuses_starts = False
        await cell.until(lambda: len(self._begun) == 1 + JOBS, 20, "all jobs begin")


if __name__ == "__main__":
    sys.exit(play(Path(__file__).with_name("record.txt"), Case))

"""A tenant cancels the job that fills its maximum while the holder is replaced."""

import signal
import sys
from pathlib import Path
from typing import Any

from review.standins.cell import Cell, Node, play
from review.standins.worker import Run

MAXIMUM_CPU = 32_000
TASK_CPU = 4_000
TASKS = MAXIMUM_CPU // TASK_CPU
OVERAGE = 0.1
LIMIT_CPU = MAXIMUM_CPU * (1 + OVERAGE) + TASK_CPU
FIRST, SECOND = "a" * 16, "b" * 16
KEY = "key-packers"


def _job() -> dict[str, Any]:
    spec = f'{{"work_ms":30000,"cpu":{TASK_CPU}}}'
    step = {
        "count": TASKS,
        "cpu": TASK_CPU,
        "requestedMemoryMb": 512,
        "estimatedMs": 30_000,
    }
    return {"spec": spec, "steps": [step]}


class Case:
    """Three nodes, six minions, and a tenant with a maximum."""

    def __init__(self, cell: Cell) -> None:
        """Set the deployment up."""
        self._cell = cell
        cell.nodes = [Node(cell, number, zone) for number, zone in enumerate("abc")]
        for number in range(6):
            cell.add_worker(f"m-{number}", "abc"[number % 3], 32_000, stop_ms=800)
        tenant = {"name": "packers", "apiKeys": [KEY], "weight": 10}
        cell.put_config([{**tenant, "maximum": {"cpu": MAXIMUM_CPU}}])
        cell.on_run = self._check

    def _check(self, run: Run) -> None:
        running = sum(one.cpu for one in self._cell.live)
        if running > LIMIT_CPU:
            self._cell.breach(
                f"QUOTA: the start of {run.task} brings what the tenant has running to "
                f"{running}, above {LIMIT_CPU:.0f}"
            )

    def _running(self, job: str) -> int:
        return sum(run.task.startswith(job) for run in self._cell.live)

    async def _cancel_first(self, nodes: list[Node]) -> None:
        for attempt in range(20):
            node = nodes[attempt % len(nodes)]
            status, _ = await self._cell.call(node, "DELETE", FIRST, KEY)
            if status in (200, 410):
                return
            await self._cell.sleep(0.1)

    async def scenario(self) -> None:
        """Fill the maximum, kill the holder, and cancel what fills it."""
        cell = self._cell
        await cell.all_ready()
        await cell.sleep(2.0)
        await cell.submit(FIRST, KEY, _job())
        await cell.until(lambda: self._running(FIRST) == TASKS, 15, "first job runs")
        await cell.submit(SECOND, KEY, _job())
        await cell.sleep(3.0)
        holder = cell.holder()
        if holder is None:
            raise RuntimeError("no holder")
        others = [node for node in cell.nodes if node is not holder]
        if cell.has_trouble:
            holder.signal(signal.SIGKILL)
            await cell.sleep(0.1)
        await self._cancel_first(others)
        await cell.until(lambda: self._running(SECOND) == TASKS, 20, "second job runs")
        await cell.sleep(1.0)


if __name__ == "__main__":
    sys.exit(play(Path(__file__).with_name("record.txt"), Case))

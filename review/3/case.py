"""A standing service is given up because minions that it ran on crashed."""

import sys
from pathlib import Path
from typing import Any

from review.standins.cell import Cell, Node, play
from review.standins.worker import Run

CRASHES = 4
RUNS_WELL_S = 11.0
DOWN_S = 1.0
JOB = "c" * 16
KEY = "key-packers"


def _job() -> dict[str, Any]:
    step = {
        "count": 1,
        "cpu": 4_000,
        "requestedMemoryMb": 512,
        "estimatedMs": 400,
        "perpetual": True,
    }
    return {"spec": '{"work_ms":600000,"cpu":4000}', "steps": [step]}


class Case:
    """Three nodes, twelve minions and one job with a task that lasts."""

    def __init__(self, cell: Cell) -> None:
        """Set the deployment up."""
        self._cell = cell
        cell.nodes = [Node(cell, number, zone) for number, zone in enumerate("abc")]
        for number in range(12):
            cell.add_worker(f"m-{number}", "abc"[number % 3], 32_000, stop_ms=200)
        cell.put_config([{"name": "packers", "apiKeys": [KEY], "weight": 10}])

    async def _state(self) -> str:
        for node in self._cell.nodes:
            status, answer = await self._cell.call(node, "GET", JOB, KEY)
            if status == 200:
                return str(answer["state"])
        return ""

    async def _begins_or_fails(self) -> Run | None:
        """Return the run of the task, or None once the job is shown as failed."""
        cell = self._cell
        ends_at = cell.now() + 12.0
        while cell.now() < ends_at:
            if cell.live:
                return cell.live[0]
            if await self._state() == "failed":
                return None
            await cell.sleep(0.2)
        raise RuntimeError("the task did not begin again")

    def _check_failed(self) -> None:
        ends = [how for _, _, how in self._cell.runs]
        if "failed" not in ends:
            self._cell.breach(
                f"LOST: the job is shown as failed; its runs ended as {ends}, and "
                "nobody has cancelled it"
            )

    async def scenario(self) -> None:
        """Let the service run well, and crash its minion, four times in turn."""
        cell = self._cell
        await cell.all_ready()
        await cell.sleep(2.0)
        await cell.submit(JOB, KEY, _job())
        for _ in range(CRASHES):
            run = await self._begins_or_fails()
            if run is None:
                break
            await cell.sleep(RUNS_WELL_S)
            worker = next(one for one in cell.workers if one.name == run.worker)
            if cell.has_trouble:
                worker.crash()
                cell.reactor.callLater(DOWN_S, worker.come_back)
                await cell.sleep(0.2)
        await cell.sleep(5.0)
        if await self._state() == "failed":
            self._check_failed()
        elif not cell.live:
            raise RuntimeError("the task does not run at the end")


if __name__ == "__main__":
    sys.exit(play(Path(__file__).with_name("record.txt"), Case))

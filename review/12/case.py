"""Ordinary jobs beside one job of many repetitions that are due."""

import asyncio
import json
import sys
import time
from pathlib import Path
from typing import Any

from review.standins_3.deployment import (
    BrokenRuleError,
    CannotRunError,
    Deployment,
    new_id,
    route,
    run_case,
)

MINIONS = 8
CORES_EACH = 32
REPETITIONS = 19_000
INTERVAL_MS = 10_000
TASK_MS = 300
TASK_CORES = 1
JOBS = 20
FINISH_S = 14.0
NOTHING_RUNS_S = 3.0
CHECK_S = 0.1


async def play(cell: Deployment, has_trouble: bool) -> None:
    """Submit ordinary jobs, one a second, and look at those that are left."""
    routes = [route("r-watch", "/watch/", priority=2), route("r-quote", "/quote/")]
    await cell.start(MINIONS, routes)
    if has_trouble:
        schedule = {
            "repetitions": REPETITIONS,
            "intervalMs": INTERVAL_MS,
            "firstRunMs": int(time.time() * 1_000) - REPETITIONS * INTERVAL_MS,
        }
        if not await submit(cell, "/watch/", 0, schedule):
            raise CannotRunError("the scheduled job was not accepted")
        await asyncio.sleep(2.0)
    accepted = await submit_jobs(cell)
    cell.record("traffic ends")
    await asyncio.sleep(FINISH_S)
    waiting = set(accepted)
    for _ in range(int(NOTHING_RUNS_S / CHECK_S)):
        waiting = {job_id for job_id in waiting if may_run(cell, job_id)}
        await asyncio.sleep(CHECK_S)
    for job_id in accepted:
        await cell.request(cell.nodes[0], "GET", f"/quote/{job_id}")
    if waiting:
        text = f"{len(waiting)} of {len(accepted)} jobs have nothing running"
        raise BrokenRuleError(f"{text} with over half of the room free")


async def submit_jobs(cell: Deployment) -> list[str]:
    """Submit one ordinary job a second; return the ids of those accepted."""
    accepted = []
    for number in range(JOBS):
        job_id = await submit(cell, "/quote/", number, {})
        if job_id:
            accepted.append(job_id)
        await asyncio.sleep(1.0)
    if not accepted:
        raise CannotRunError("no ordinary job was accepted")
    return accepted


def may_run(cell: Deployment, job_id: str) -> bool:
    """Tell whether a job is not done, runs nothing, and half of the room is free."""
    running = sum(len(minion.life.runs) for minion in cell.pool.minions if minion.life)
    room = MINIONS * CORES_EACH // TASK_CORES
    is_open = not (cell.pool.has_ended(job_id) or cell.pool.runs_of(job_id))
    return is_open and 2 * running < room


async def submit(
    cell: Deployment, prefix: str, number: int, schedule: dict[str, Any]
) -> str:
    """Submit a job of one short task; return its id, or nothing if it is refused."""
    job_id = new_id()
    step = {
        "count": 1,
        "cpu": 1_000 * TASK_CORES,
        "requestedMemoryMb": 16,
        "estimatedMs": TASK_MS,
    }
    job = {
        "spec": json.dumps({"steps": [{"workMs": TASK_MS}]}),
        "steps": [step],
        **schedule,
    }
    node = cell.nodes[number % len(cell.nodes)]
    status, _ = await cell.request(node, "POST", f"{prefix}{job_id}", job)
    return job_id if status == 200 else ""


if __name__ == "__main__":
    sys.exit(run_case(play, Path(__file__).parent))

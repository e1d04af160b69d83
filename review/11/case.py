"""Ordinary jobs beside a standing job that wants more minions than there are."""

import asyncio
import json
import sys
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
STANDING_TASKS = 16
TASK_MS = 300
JOBS = 10
OTHER_STANDING_JOBS = 19
FINISH_S = 14.0
NOTHING_RUNS_S = 3.0
CHECK_S = 0.1


async def play(cell: Deployment, has_trouble: bool) -> None:
    """Submit ordinary jobs, one a second, and look at those that are left."""
    routes = [
        route("r-watch", "/watch/"),
        route("r-quote", "/quote/", priority=0, targetLatencyMs=250, stretch=1.5),
        route("r-batch", "/batch/", priority=2),
    ]
    await cell.start(MINIONS, routes)
    small = {"count": 1, "estimatedMs": 400, "perpetual": True}
    for number in range(OTHER_STANDING_JOBS):
        if not await submit(cell, number, "/watch/", small, {"lasts": True}):
            raise CannotRunError("a standing job was not accepted")
    standing = {
        "count": STANDING_TASKS if has_trouble else MINIONS,
        "estimatedMs": 400,
        "perpetual": True,
        "antiAffinity": 1,
    }
    if not await submit(cell, 0, "/watch/", standing, {"lasts": True}):
        raise CannotRunError("the standing job was not accepted")
    await asyncio.sleep(2.0)
    jobs = [await submit_short(cell, number) for number in range(JOBS)]
    accepted = [job_id for job_id in jobs if job_id]
    if not accepted:
        raise CannotRunError("no ordinary job was accepted")
    cell.record("traffic ends")
    await asyncio.sleep(FINISH_S)
    waiting = set(accepted)
    for _ in range(int(NOTHING_RUNS_S / CHECK_S)):
        waiting = {job_id for job_id in waiting if may_run(cell, job_id)}
        await asyncio.sleep(CHECK_S)
    if waiting:
        text = f"{len(waiting)} of {len(accepted)} jobs have nothing running"
        raise BrokenRuleError(f"{text} with over half of the room free")


def may_run(cell: Deployment, job_id: str) -> bool:
    """Tell whether a job is not done, runs nothing, and half of the room is free."""
    running = sum(len(minion.life.runs) for minion in cell.pool.minions if minion.life)
    is_open = not (cell.pool.has_ended(job_id) or cell.pool.runs_of(job_id))
    return is_open and 2 * running < MINIONS * CORES_EACH


async def submit_short(cell: Deployment, number: int) -> str:
    """Submit a job of one short task to one queue or the other, in turn."""
    prefix = ("/quote/", "/batch/")[number % 2]
    step = {"count": 1, "estimatedMs": TASK_MS}
    job_id = await submit(cell, number, prefix, step, {"workMs": TASK_MS})
    await asyncio.sleep(1.0)
    return job_id


async def submit(
    cell: Deployment,
    number: int,
    prefix: str,
    step: dict[str, Any],
    plan: dict[str, Any],
) -> str:
    """Submit a job of tasks on one core; return its id, or nothing if refused."""
    job_id = new_id()
    job = {
        "spec": json.dumps({"steps": [plan]}),
        "steps": [{"cpu": 1_000, "requestedMemoryMb": 256, **step}],
    }
    node = cell.nodes[number % len(cell.nodes)]
    status, _ = await cell.request(node, "POST", f"{prefix}{job_id}", job)
    return job_id if status == 200 else ""


if __name__ == "__main__":
    sys.exit(run_case(play, Path(__file__).parent))

"""One client of four leaves and cancels, with its submission still on its way."""

import asyncio
import json
import signal
import sys
from pathlib import Path

from review.standins_3.deployment import (
    BrokenRuleError,
    CannotRunError,
    Deployment,
    NodeProcess,
    new_id,
    route,
    run_case,
)

MINIONS = 8
CLIENTS = 4
WORK_MS = 60_000
FREEZE_S = 4.0
CLIENT_LEAVES_S = 0.125
JUDGED_AFTER_S = 14.0
CANCELLED = (200, 410)


async def play(cell: Deployment, has_trouble: bool) -> None:
    """Submit a long job and cancel it; it must be gone once all is calm again."""
    queue = route("r-quote", "/quote/", priority=0, targetLatencyMs=250, stretch=1.5)
    await cell.start(MINIONS, [queue])
    holder = next(node for node in cell.nodes if node.name == cell.holder())
    healthy = [node for node in cell.nodes if node.zone != holder.zone]
    first, second = healthy[:2]
    if has_trouble:
        await heartbeat(cell)
        cell.record("node freezes", node=holder.name)
        holder.signal(signal.SIGSTOP)
        loop = asyncio.get_running_loop()
        loop.call_later(FREEZE_S, holder.signal, signal.SIGCONT)
    others = [
        asyncio.create_task(submit(cell, healthy[number % len(healthy)], new_id(), 3.0))
        for number in range(CLIENTS - 1)
    ]
    job_id = new_id()
    await submit(cell, first, job_id, CLIENT_LEAVES_S)
    path = f"/quote/{job_id}"
    status, _ = await cell.request(second, "DELETE", path)
    await asyncio.gather(*others)
    if status not in CANCELLED:
        raise CannotRunError(f"the cancelling was answered {status}")
    await asyncio.sleep(JUDGED_AFTER_S)
    running = cell.pool.runs_of(job_id)
    await cell.request(second, "GET", path)
    if running:
        raise BrokenRuleError(f"{running[0]} runs on, its cancelling got {status}")


async def submit(
    cell: Deployment, node: NodeProcess, job_id: str, stays_s: float
) -> None:
    """Submit a long job at a node, and stay for an answer for so long."""
    step = {
        "count": 1,
        "cpu": 4_000,
        "requestedMemoryMb": 1_024,
        "estimatedMs": WORK_MS,
    }
    job = {"spec": json.dumps({"steps": [{"workMs": WORK_MS}]}), "steps": [step]}
    await cell.request(node, "POST", f"/quote/{job_id}", job, timeout_s=stays_s)


async def heartbeat(cell: Deployment) -> None:
    """Wait until the holder has renewed its role in the store."""
    rows = cell.store.partition("keyed.holder").rows
    known = len(rows)
    while len(rows) == known:
        await asyncio.sleep(0.002)


if __name__ == "__main__":
    sys.exit(run_case(play, Path(__file__).parent))

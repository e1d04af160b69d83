"""A large scheduled job stops the scheduling of all other jobs."""

import time
from pathlib import Path
from typing import Any

from review.standins_2.fleet import BROKEN, HELD, NOT_RUN, Fleet

LARGE = "59a8000000000000"
REPETITIONS = 19_000
INTERVAL_MS = 1_000
FINISH_S = 14.0
WITHOUT_RUN_S = 3.0
OTHERS = 8


def large_job() -> dict[str, Any]:
    """Return a job whose occurrences are due, one for each second up to now."""
    step = {"count": 1, "cpu": 10, "requestedMemoryMb": 4, "estimatedMs": 100}
    return {
        "spec": '{"work_s": 0.1}',
        "steps": [step],
        "firstRunMs": int(time.time() * 1_000) - REPETITIONS * INTERVAL_MS,
        "intervalMs": INTERVAL_MS,
        "repetitions": REPETITIONS,
    }


async def hand_in(fleet: Fleet, body: dict[str, Any]) -> list[str]:
    """Hand in ordinary jobs, one a second; return those that were accepted."""
    accepted = []
    for number in range(OTHERS):
        job = f"59a80000000000{16 + number:02x}"
        if await fleet.submit(job, body, tries=3):
            accepted.append(job)
        await fleet.sleep(1.0)
    return accepted


async def case(fleet: Fleet) -> int:
    """Hand in the large job, then small ones, and see whether those run."""
    await fleet.sleep(4.0)
    small_step = {
        "count": 2,
        "cpu": 1_000,
        "requestedMemoryMb": 256,
        "estimatedMs": 300,
    }
    small = {"spec": '{"work_s": 0.3}', "steps": [small_step]}
    if not await fleet.submit("59a8000000000001", small):
        return NOT_RUN
    if not await fleet.until(lambda: len(fleet.ended) == 2, 5.0):
        return NOT_RUN
    if fleet.has_trouble and not await fleet.submit(LARGE, large_job()):
        return NOT_RUN
    await fleet.sleep(3.0)
    accepted = await hand_in(fleet, small)
    fleet.record("end of the traffic", accepted=accepted)
    if not accepted:
        return NOT_RUN
    await fleet.sleep(FINISH_S + WITHOUT_RUN_S)
    begun = {start[2].partition(".")[0] for start in fleet.starts}
    not_begun = [job for job in accepted if job not in begun]
    busy = sum(len(minion.life.active_by_task) for minion in fleet.minions)
    ends = {node.name: node.own_ends for node in fleet.nodes}
    fleet.record("judged", not_begun=not_begun, tasks_at_work=busy, own_ends=ends)
    for number, job in enumerate(not_begun):
        await fleet.call(fleet.nodes[number % len(fleet.nodes)], "GET", job)
    return BROKEN if not_begun and not busy else HELD


fleet = Fleet(Path(__file__).parent)
for zone in ("a", "b", "c"):
    fleet.add_node(zone)
fleet.put_config()
for number in range(9):
    fleet.add_minion(f"minion-{number}", zone="abc"[number % 3])
fleet.run(case)

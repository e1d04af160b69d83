"""Tasks of a completed job start once more when their hung minion answers again."""

from pathlib import Path
from typing import Any

from review.standins_2.fleet import BROKEN, HELD, NOT_RUN, Fleet

JOB = "59a9000000000001"
TASKS = 120
HANG_S = 4.5
NOTED_S = 1.0


async def case(fleet: Fleet) -> int:
    """Hang the minion near a job's data, and let the job end elsewhere."""
    await fleet.sleep(4.0)
    minion = fleet.minions[-1]
    step = {
        "count": TASKS,
        "cpu": 250,
        "requestedMemoryMb": 256,
        "estimatedMs": 400,
        "affinity": "r9",
        "speculative": True,
    }
    body = {"spec": '{"work_s": 0.4}', "steps": [step]}
    if fleet.has_trouble:
        minion.hang(HANG_S)
    await fleet.sleep(0.3)
    if not await fleet.submit(JOB, body):
        return NOT_RUN
    answer: Any = {"state": ""}
    ends_at = fleet.reactor.seconds() + 20.0
    while answer["state"] != "completed" and fleet.reactor.seconds() < ends_at:
        await fleet.sleep(0.2)
        status, found = await fleet.call(fleet.nodes[0], "GET", JOB)
        answer = found if status == 200 else answer
    if answer["state"] != "completed":
        return NOT_RUN
    completed_at = fleet.reactor.seconds()
    fleet.record("shown as completed")
    await fleet.sleep(HANG_S + 1.0)
    again = [
        (round(at - completed_at, 2), name, task, number)
        for at, name, task, number in fleet.starts
        if at > completed_at + NOTED_S
    ]
    fleet.record("started over a second later", count=len(again), first=again[:5])
    return BROKEN if again else HELD


fleet = Fleet(Path(__file__).parent)
for zone in ("a", "b", "c"):
    fleet.add_node(zone)
fleet.put_config()
BIG = {"cpu": 64_000, "requestedMemoryMb": 131_072, "gpu": 0}
for number in range(9):
    fleet.add_minion(f"minion-{number}", zone="abc"[number % 3], capacity=BIG)
fleet.add_minion("minion-9", labels=["a", "r9"], capacity=BIG)
fleet.run(case)

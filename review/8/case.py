"""Tasks of a completed job start once more when their dark minion is back."""

from pathlib import Path
from typing import Any

from review.standins_2.fleet import BROKEN, HELD, NOT_RUN, Fleet

ROUNDS = 6
TASKS = 120
DARK_S = 3.0
NOTED_S = 1.0
COMPLETED_WITHIN_S = 10.0


def body() -> dict[str, Any]:
    """Return a job whose data are on the rack of one minion."""
    step = {
        "count": TASKS,
        "cpu": 250,
        "requestedMemoryMb": 256,
        "estimatedMs": 400,
        "affinity": "r9",
        "speculative": True,
    }
    return {"spec": '{"work_s": 0.4}', "steps": [step]}


async def completed_at(fleet: Fleet, job: str) -> float | None:
    """Return when a job was first shown as completed."""
    ends_at = fleet.reactor.seconds() + COMPLETED_WITHIN_S
    while fleet.reactor.seconds() < ends_at:
        await fleet.sleep(0.2)
        status, answer = await fleet.call(fleet.nodes[0], "GET", job)
        if status == 200 and answer["state"] == "completed":
            return float(fleet.reactor.seconds())
    return None


async def case(fleet: Fleet) -> int:
    """Let the minion near a job's data go dark, and the job end elsewhere."""
    await fleet.sleep(4.0)
    minion = fleet.minions[-1]
    for number in range(ROUNDS):
        if fleet.has_trouble:
            minion.go_dark(DARK_S, registers_at_once=False)
        await fleet.sleep(0.3)
        job = f"59a90000000000{number:02x}"
        if not await fleet.submit(job, body()):
            return NOT_RUN
        shown_at = await completed_at(fleet, job)
        if shown_at is None:
            return NOT_RUN
        await fleet.sleep(DARK_S + 2.0)
        again = [
            (round(at - shown_at, 2), name, task, run)
            for at, name, task, run in fleet.starts
            if task.startswith(job) and at > shown_at + NOTED_S
        ]
        fleet.record("round", number=number, again=len(again), first=again[:5])
        if again:
            return BROKEN
    return HELD


fleet = Fleet(Path(__file__).parent)
for zone in ("a", "b", "c"):
    fleet.add_node(zone)
fleet.put_config()
BIG = {"cpu": 64_000, "requestedMemoryMb": 131_072, "gpu": 0}
for number in range(9):
    fleet.add_minion(f"minion-{number}", zone="abc"[number % 3], capacity=BIG)
fleet.add_minion("minion-9", labels=["a", "r9"], capacity=BIG)
fleet.run(case)

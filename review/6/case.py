"""The scheduling process ends by itself when a minion with waiting orders returns."""

from pathlib import Path

from review.standins_2.fleet import BROKEN, HELD, NOT_RUN, Fleet

ROUNDS = 10
DARK_S = 3.0
TASKS = 200
OWN_ENDS = 3
MACHINES = 2


def is_fault(fleet: Fleet) -> bool:
    """Tell whether processes of two machines have ended by themselves three times."""
    often = [node for node in fleet.nodes if node.own_ends >= OWN_ENDS]
    return len(often) >= MACHINES


async def case(fleet: Fleet) -> int:
    """Let a minion go dark, hand in a job that only it may run, and let it return."""
    await fleet.sleep(4.0)
    minion = fleet.minions[-1]
    step = {
        "count": TASKS,
        "cpu": 250,
        "requestedMemoryMb": 256,
        "estimatedMs": 500,
        "requirements": "b",
    }
    body = {"spec": '{"work_s": 0.5}', "steps": [step]}
    for number in range(ROUNDS):
        if fleet.has_trouble:
            minion.go_dark(DARK_S)
        await fleet.sleep(0.3)
        job = f"59a30000000000{number:02x}"
        if not await fleet.submit(job, body):
            return NOT_RUN
        await fleet.sleep(DARK_S + 0.5)

        def is_done(job: str = job) -> bool:
            done = {
                task
                for _, _, task, _, how in fleet.ended
                if how == "done" and task.startswith(job)
            }
            return len(done) == TASKS

        await fleet.until(is_done, 5.0)
        await fleet.sleep(1.0)
        ends = {node.name: node.own_ends for node in fleet.nodes}
        fleet.record("round", number=number, done=is_done(), own_ends=ends)
        if is_fault(fleet):
            return BROKEN
    return HELD


fleet = Fleet(Path(__file__).parent)
for zone in ("a", "b", "c"):
    fleet.add_node(zone)
fleet.put_config()
for number in range(7):
    fleet.add_minion(f"minion-{number}", zone="abc"[number % 3])
fleet.add_minion(
    "minion-7",
    labels=["b", "r2"],
    capacity={"cpu": 64_000, "requestedMemoryMb": 131_072, "gpu": 0},
)
fleet.run(case)

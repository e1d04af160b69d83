"""Options of a run: the size of the load and the steps."""

import random
from dataclasses import dataclass
from enum import Enum

LOAD_S = 45.0
"""Length of the load, in seconds."""

FAULTY_LOAD_S = 60.0
"""Length of the load with faults, in seconds."""


class StepName(Enum):
    """Names of the steps that disturb a running cell."""

    KILL_OWNER = "kill an owner"
    REVOKE_KEY = "revoke a key"
    PLANNED_STOP = "planned stop"
    PAUSE_OWNER = "pause an owner"
    LOG_OUTAGE = "log outage"
    FAILING_UPSTREAM = "failing upstream"
    SLOW_UPSTREAM = "slow upstream"
    LEAVING_UPSTREAM = "leaving upstream"


@dataclass(frozen=True, slots=True)
class Options:
    """Size of the load and the steps of a run.

    The steps of one track run in sequence; the tracks run concurrently.
    """

    seed: int
    requests: int
    load_seconds: float
    tracks: tuple[tuple[StepName, ...], ...]
    jobs: bool = True
    failing_worker: bool = False


def demo_options(faults: bool, seed: int, requests: int) -> Options:
    """Return the options of ``make demo``; the seed sets the order of faults."""
    processes = [StepName.KILL_OWNER, StepName.REVOKE_KEY, StepName.PLANNED_STOP]
    if not faults:
        return Options(seed, requests, LOAD_S, (tuple(processes),))
    processes.append(StepName.PAUSE_OWNER)
    platform = [
        StepName.LOG_OUTAGE,
        StepName.FAILING_UPSTREAM,
        StepName.SLOW_UPSTREAM,
        StepName.LEAVING_UPSTREAM,
    ]
    rng = random.Random(seed)
    rng.shuffle(processes)
    rng.shuffle(platform)
    tracks = (tuple(processes), tuple(platform))
    return Options(seed, requests, FAULTY_LOAD_S, tracks, failing_worker=True)

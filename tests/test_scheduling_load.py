"""Who starts first and where, replayed from the loads that the policies answer."""

import random

from tamarackmount.resources import Resources
from tamarackmount.scheduling.accepted_job import AcceptedJob
from tamarackmount.scheduling.fleet_config import AdvicePolicy
from tamarackmount.scheduling.model import TaskKey
from tamarackmount.scheduling.preemption import RESTART_PAUSE_S
from tamarackmount.scheduling.ranking import TeamShares
from tamarackmount.scheduling.runs import make_job
from tamarackmount.scheduling.step_advice import AdviceAnswer, Permission
from tamarackmount.scheduling.worker_reports import OrderResult, RunEnd
from tests.utils.build_scheduling import (
    URGENT,
    Cell,
    ended,
    entry,
    job,
    life,
    report,
    step,
)

LONG = {"estimated_ms": 9_000, "saves_progress": True}


class Replay:
    """Plays jobs on one worker in steps of 50 ms: tasks take what they declare."""

    STEP_S = 0.05
    STOP_S = 0.2

    def __init__(self, cell: Cell) -> None:
        """Play on ``cell``."""
        self._took_s_by_job: dict[str, float] = {}
        self.cell = cell
        self.first_start_s: dict[str, float] = {}
        self._ends: dict[tuple[TaskKey, int], tuple[float, RunEnd]] = {}
        self._number = 0

    def play(self, arrivals: list[tuple[float, AcceptedJob]], seconds: float) -> None:
        """Let jobs come and time pass."""
        waiting = sorted(arrivals, key=lambda row: row[0])
        for _, accepted in arrivals:
            took_s = accepted.spec.steps[0].estimated_ms / 1_000
            self._took_s_by_job[accepted.job_id] = took_s
        begun = self.cell.now
        while self.cell.now - begun < seconds:
            while waiting and self.cell.now - begun >= waiting[0][0]:
                self.cell.add(waiting.pop(0)[1])
            self._orders(begun)
            self._report()
            self.cell.store()
            self.cell.tick(self.STEP_S)

    def _orders(self, begun: float) -> None:
        for start in self.cell.answer_starts():
            task = start.order.task
            self.first_start_s.setdefault(task.job_id, self.cell.now - begun)
            took_s = self._took_s_by_job[task.job_id]
            self._ends[task, start.order.run] = (self.cell.now + took_s, RunEnd.DONE)
        stops, self.cell.stops = self.cell.stops, []
        for stop in stops:
            key = (stop.task, stop.run)
            if key in self._ends:
                ends = (self.cell.now + self.STOP_S, RunEnd.STOPPED)
                self._ends[key] = min(self._ends[key], ends)

    def _report(self) -> None:
        rows = []
        for (task, run), (ends, how) in list(self._ends.items()):
            if ends <= self.cell.now:
                del self._ends[task, run]
                self._number += 1
                rows.append(ended(self._number, task, run, how))
        running = tuple(self._ends)
        self.cell.hold(report(running=running, ended=tuple(rows)))


LONG_AFTER_S = 60.0


def test_a_burst_of_urgent_jobs_starts_at_once_on_a_worker_full_of_long_ones() -> None:
    cell = Cell(ceiling=Resources())
    cell.list_workers(entry("w1", cores=8))
    arrivals = [(0.0, job(1, step(8, **LONG)))]
    rng = random.Random(3)
    urgent = [
        job(number, step(2, estimated_ms=700), in_queue=URGENT)
        for number in range(10, 16)
    ]
    times = {row.job_id: 2.0 + rng.random() for row in urgent}
    arrivals += [(times[row.job_id], row) for row in urgent]
    replay = Replay(cell)
    replay.play(arrivals, 8.0)
    waits = [replay.first_start_s[row.job_id] - times[row.job_id] for row in urgent]
    assert max(waits) <= 0.8


def test_a_teams_urgent_jobs_start_under_a_ceiling_that_its_long_ones_fill() -> None:
    cell = Cell(ceiling=Resources(8_000, 0, 0))
    cell.list_workers(entry("w1", cores=32))
    arrivals = [(0.0, job(1, step(20, **LONG)))]
    urgent = job(10, step(4, estimated_ms=700), in_queue=URGENT)
    arrivals.append((3.0, urgent))
    replay = Replay(cell)
    replay.play(arrivals, 5.0)
    assert replay.first_start_s[urgent.job_id] <= 3.0 + 0.5


def test_patient_jobs_leave_part_of_their_teams_ceiling_free() -> None:
    cell = Cell(ceiling=Resources(10_000, 0, 0))
    cell.list_workers(entry("w1", cores=32))
    cell.add(job(1, step(20, **LONG)))
    assert len(cell.starts) == 8
    cell.add(job(2, step(2, estimated_ms=700), in_queue=URGENT))
    assert len(cell.starts) == 10


def test_a_ceiling_is_never_passed() -> None:
    cell = Cell(ceiling=Resources(3_000, 0, 0))
    cell.list_workers(entry("w1", cores=32))
    cell.add(job(1, step(9), in_queue=URGENT))
    assert len(cell.starts) == 3


def test_the_job_with_the_earliest_latest_start_goes_first() -> None:
    cell = Cell(ceiling=Resources())
    cell.list_workers(entry("w1", cores=1))
    cell.add(job(1, step(1, estimated_ms=20_000)))
    cell.answer_starts()
    cell.add(job(2, step(1, estimated_ms=9_000)))
    cell.add(job(3, step(1, estimated_ms=1_000)))
    row = ended(1, TaskKey(job(1).job_id, 0, 0, 0), 1, RunEnd.DONE)
    cell.hold(report(ended=(row,)))
    assert [start.order.task.job_id for start in cell.starts] == [job(3).job_id]


def test_a_gang_starts_whole_or_not_at_all() -> None:
    cell = Cell(ceiling=Resources())
    cell.list_workers(entry("w1", cores=4), entry("w2", cores=4))
    cell.add(job(1, step(3, cores=4, gang=True)))
    assert not cell.starts
    cell.list_workers(entry("w1", cores=4), entry("w2", cores=4), entry("w3", cores=4))
    assert len(cell.starts) == 3
    assert len({start.order.run for start in cell.starts}) == 1


def test_a_gang_that_lost_a_member_is_stopped_though_there_is_no_room() -> None:
    cell = Cell(ceiling=Resources())
    cell.list_workers(entry("w1", cores=2), entry("w2", cores=2))
    cell.add(job(1, step(2, cores=2, gang=True)))
    first, second = cell.starts
    cell.starts = []
    for start, result in ((first, OrderResult.DONE), (second, OrderResult.UNHEALTHY)):
        order = start.order
        cell.scheduler.start_answered(
            order.life, order.task, order.run, result, cell.now
        )
    cell.tick(0.1)
    assert [stop.task for stop in cell.stops] == [first.order.task]


def test_a_step_waits_for_those_before_it() -> None:
    cell = Cell(ceiling=Resources())
    cell.list_workers(entry("w1"))
    cell.add(job(1, step(2), step(1, after=(0,))))
    first, second = cell.answer_starts()
    cell.hold(
        report(
            ended=(ended(1, first.order.task, 1, RunEnd.DONE),),
            running=((second.order.task, second.order.run),),
        )
    )
    assert not cell.starts
    row = ended(2, second.order.task, second.order.run, RunEnd.DONE)
    cell.hold(report(ended=(row,)))
    assert [start.order.task.step for start in cell.starts] == [1]


def test_a_queue_with_a_policy_starts_only_where_that_allows() -> None:
    policy = AdvicePolicy(20.0, 0.2, 2_000.0)
    cell = Cell(ceiling=Resources(), advice=policy)
    cell.list_workers(entry("w1"), entry("w2"))
    cell.add(job(1))
    assert not cell.starts
    (question,) = cell.questions
    answer = AdviceAnswer((Permission(life("w2").worker_id, "t1"),), 2_000.0)
    cell.scheduler.advice_answered(question.step, answer, cell.now)
    cell.tick()
    (start,) = cell.starts
    assert (start.order.life, start.order.ticket) == (life("w2"), "t1")


def test_a_permission_that_ends_is_asked_for_again_before_it_does() -> None:
    policy = AdvicePolicy(600.0, 8.0, 2_000.0)
    cell = Cell(ceiling=Resources(), advice=policy)
    cell.list_workers(entry("w1", cores=1))
    cell.add(job(1))
    (question,) = cell.questions
    cell.scheduler.advice_answered(question.step, None, cell.now)
    cell.tick(0.3)
    answer = AdviceAnswer((Permission(life("w1").worker_id, "t1"),), 2_000.0)
    cell.scheduler.advice_answered(question.step, answer, cell.now)
    cell.add(job(2))
    second = cell.questions[-1]
    cell.scheduler.advice_answered(second.step, answer, cell.now)
    cell.questions.clear()
    cell.tick(1.5)
    assert [row.step for row in cell.questions] == [second.step]


def test_late_steps_are_asked_for_only_once_they_could_start() -> None:
    policy = AdvicePolicy(20.0, 0.2, 2_000.0)
    cell = Cell(ceiling=Resources(1_500, 0, 0), advice=policy)
    cell.list_workers(entry("w1", cores=64))
    answer = AdviceAnswer((Permission(life("w1").worker_id, "t1"),), 2_000.0)
    cell.add(job(1))
    cell.add(job(2))
    while cell.questions:
        question = cell.questions.pop()
        cell.scheduler.advice_answered(question.step, answer, cell.now)
        cell.tick()
    (start,) = cell.answer_starts()
    cell.tick(LONG_AFTER_S)
    late = [row for row in cell.questions if row.step != start.order.task.step_key]
    for question in late:
        cell.scheduler.advice_answered(question.step, answer, cell.now)
    cell.questions.clear()
    cell.tick(3.0)
    assert not cell.questions
    row = ended(1, start.order.task, start.order.run, RunEnd.DONE)
    cell.hold(report(ended=(row,)))
    cell.tick()
    assert [row.step.job_id for row in cell.questions] == [job(2).job_id]


def test_jobs_beyond_their_teams_share_go_after_the_others() -> None:
    cell = Cell()
    shares = TeamShares()
    rows = [make_job(job(number), None, cell.now) for number in range(1, 40)]
    over = [shares.is_over(row, 8.0, cell.now) for row in rows]
    assert over == [False] * 17 + [True] * 22


def test_nothing_is_stopped_for_tasks_that_have_no_worker_to_go_to() -> None:
    cell = Cell(ceiling=Resources(8_000, 0, 0))
    labels = frozenset({"x", "r1"})
    cell.list_workers(entry("w1", cores=1, labels=labels), entry("w2", cores=32))
    cell.add(job(1, step(1, label="x", estimated_ms=60_000), in_queue=URGENT))
    cell.answer_starts()
    cell.add(job(2, step(20, **LONG)))
    cell.answer_starts()
    cell.tick(1.5)
    cell.add(job(3, step(4, label="x", estimated_ms=700), in_queue=URGENT))
    cell.tick(0.1)
    assert not cell.starts
    assert not cell.stops


def test_what_was_stopped_does_not_start_at_once_again() -> None:
    cell = Cell(ceiling=Resources())
    cell.list_workers(entry("w1", cores=8))
    cell.add(job(1, step(8, **LONG)))
    (first, *_) = cell.answer_starts()
    cell.tick(1.5)
    cell.add(job(2, step(1, estimated_ms=700), in_queue=URGENT))
    (stop,) = cell.stops
    runs = {row: number + 1 for number, row in enumerate(range(8))}
    running = tuple(
        (first.order.task._replace(index=index), run)
        for index, run in runs.items()
        if index != stop.task.index
    )
    cell.hold(
        report(running=running, ended=(ended(1, stop.task, stop.run, RunEnd.STOPPED),))
    )
    (urgent,) = cell.answer_starts()
    assert urgent.order.task.job_id == job(2).job_id
    row = ended(2, urgent.order.task, urgent.order.run, RunEnd.DONE)
    cell.hold(report(running=running, ended=(row,)))
    assert not cell.starts
    cell.tick(RESTART_PAUSE_S)
    assert [start.order.task for start in cell.starts] == [stop.task]

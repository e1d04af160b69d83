"""Jobs are kept together in a data centre, and away from one that may be cut off."""

from tamarackmount.ids import DataCentreId
from tamarackmount.resources import Resources
from tamarackmount.scheduling.free_capacity import DOUBTED_WORKERS
from tamarackmount.scheduling.worker_reports import OrderResult, WorkerTrouble
from tests.utils.build_scheduling import URGENT, Cell, entry, job, life, step

HOMES = ("dc1", "dc2", "dc3")
CORES = 8


def three_data_centres() -> Cell:
    """Return a cell with three workers in each of three data centres."""
    cell = Cell(ceiling=Resources())
    cell.list_workers(
        *(
            entry(f"{home}-{number}", CORES, data_centre=DataCentreId(home))
            for home in HOMES
            for number in range(3)
        )
    )
    return cell


def homes(cell: Cell) -> set[str]:
    """Return the data centres of the starts so far."""
    starts = cell.answer_starts()
    return {start.order.life.worker_id.partition("-")[0] for start in starts}


def test_a_job_is_kept_together_as_far_as_there_is_room() -> None:
    cell = three_data_centres()
    cell.add(job(1, step(3 * CORES), in_queue=URGENT))
    assert len(homes(cell)) == 1
    cell.add(job(2, step(2 * 3 * CORES), in_queue=URGENT))
    assert len(homes(cell)) == 2


def test_jobs_go_to_the_data_centre_with_most_room() -> None:
    cell = three_data_centres()
    found = set()
    for number in range(3):
        cell.add(job(number + 1, step(2 * CORES), in_queue=URGENT))
        found |= homes(cell)
    assert found == set(HOMES)


def test_a_data_centre_that_may_be_cut_off_is_chosen_last() -> None:
    cell = three_data_centres()
    for number in range(DOUBTED_WORKERS):
        for _ in range(2):
            cell.hold(WorkerTrouble.SILENT, life(f"dc2-{number}"))
    cell.add(job(1, step(2 * 3 * CORES), in_queue=URGENT))
    assert homes(cell) == {"dc1", "dc3"}


def test_one_lost_worker_says_nothing_of_its_data_centre() -> None:
    cell = three_data_centres()
    cell.add(job(1, step(1), in_queue=URGENT))
    cell.tick(0.2)
    (lost,) = cell.answer_starts(OrderResult.UNKNOWN)
    home = lost.order.life.worker_id.partition("-")[0]
    cell.add(job(2, step((3 * 3 - 1) * CORES), in_queue=URGENT))
    assert homes(cell) >= {home}

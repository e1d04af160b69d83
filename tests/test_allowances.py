"""Division of fleet-wide amounts over data centres."""

from hypothesis import given
from hypothesis import strategies as st

from tamarackmount.ids import DataCentreId, WorkspaceId
from tamarackmount.kernel.allowances import allowance

DATA_CENTRES = st.lists(
    st.text("abc123", min_size=1, max_size=4).map(DataCentreId), min_size=1, unique=True
)


@given(st.integers(0, 10_000), st.text(max_size=5).map(WorkspaceId), DATA_CENTRES)
def test_parts_add_up_to_the_total_and_differ_by_at_most_one(
    total: int, team: WorkspaceId, data_centres: list[DataCentreId]
) -> None:
    parts = [
        allowance(total, team, data_centre, data_centres)
        for data_centre in data_centres
    ]
    known = [part for part in parts if part is not None]
    assert sum(known) == total
    assert max(known) - min(known) <= 1


@given(DATA_CENTRES)
def test_order_of_the_data_centres_does_not_matter(
    data_centres: list[DataCentreId],
) -> None:
    team = WorkspaceId("retail")
    for data_centre in data_centres:
        forward = allowance(7, team, data_centre, data_centres)
        assert forward == allowance(7, team, data_centre, data_centres[::-1])


def test_no_limit_in_total_is_no_limit_in_a_data_centre() -> None:
    data_centre = DataCentreId("dc1")
    assert allowance(None, WorkspaceId("retail"), data_centre, [data_centre]) is None

"""Index ranges behave like a set of integers."""

from hypothesis import given
from hypothesis import strategies as st

from tamarackmount.kernel.index_ranges import IndexRanges

CHANGES = st.lists(st.tuples(st.booleans(), st.integers(0, 12)), max_size=60)


@given(CHANGES)
def test_matches_a_set(changes: list[tuple[bool, int]]) -> None:
    ranges, model = IndexRanges(), set[int]()
    for adds, index in changes:
        if adds:
            ranges.add(index)
            model.add(index)
        else:
            ranges.discard(index)
            model.discard(index)
        assert list(ranges) == sorted(model)
        assert len(ranges) == len(model)
        assert all((index in ranges) == (index in model) for index in range(13))
    if model:
        assert ranges.lowest() == min(model)


@given(CHANGES)
def test_ranges_are_not_adjacent(changes: list[tuple[bool, int]]) -> None:
    ranges = IndexRanges()
    for _, index in changes:
        ranges.add(index)
    pairs = ranges.ranges()
    assert all(
        before[1] + 1 < after[0]
        for before, after in zip(pairs, pairs[1:], strict=False)
    )


def test_take_all_empties() -> None:
    ranges = IndexRanges([(0, 4), (8, 9)])
    assert ranges.take_all() == [(0, 4), (8, 9)]
    assert len(ranges) == 0

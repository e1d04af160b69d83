"""Sets of indexes as ranges, compared with plain sets."""

from itertools import pairwise

from hypothesis import given
from hypothesis import strategies as st

from tamarackmount.scheduling.jobs.index_ranges import IndexRanges

INDEXES = st.integers(min_value=0, max_value=40)
CHANGES = st.lists(
    st.one_of(
        st.tuples(st.just("add"), INDEXES, INDEXES),
        st.tuples(st.just("discard"), INDEXES, INDEXES),
    ),
    max_size=40,
)


@given(CHANGES, INDEXES)
def test_ranges_differ_from_a_plain_set(
    changes: list[tuple[str, int, int]], start: int
) -> None:
    # Guards against a task that counts as done, or as waiting, although it is not.
    ranges, plain = IndexRanges(), set[int]()
    for change, first, last in changes:
        if change == "add":
            ranges.add_range(first, last)
            plain.update(range(first, last + 1))
        else:
            ranges.discard_range(first, last)
            plain.difference_update(range(first, last + 1))
        assert list(ranges) == sorted(plain)
        assert len(ranges) == len(plain)
    assert all((index in ranges) == (index in plain) for index in range(42))
    following = [index for index in sorted(plain) if index >= start]
    assert ranges.first_from(start) == (following[0] if following else None)
    assert list(IndexRanges(ranges.ranges())) == sorted(plain)
    bounds = ranges.ranges()
    assert all(end + 1 < start for (_, end), (start, _) in pairwise(bounds))


def test_indexes_that_are_removed_while_they_are_read_are_skipped() -> None:
    # Guards against a step whose tasks start while they are gone through.
    ranges = IndexRanges.below(6)
    seen = []
    for index in ranges:
        seen.append(index)
        ranges.discard(index)
    assert seen == [0, 1, 2, 3, 4, 5]
    assert not ranges

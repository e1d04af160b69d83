"""Tests of compare-and-set in log order, and of documents from peers."""

from hypothesis import given
from hypothesis import strategies as st

from tamarackmount.ids import ConfigPath, Offset
from tamarackmount.kernel.fleet_config import ChangeResult, FleetConfig
from tamarackmount.kernel.log_records import ConfigChange, ConfigSnapshot, SnapshotEntry
from tamarackmount.kernel.messages import ConfigEntry

PATHS = [ConfigPath("teams/a"), ConfigPath("teams/b")]
PATH = PATHS[0]


def change(expected: int, text: str = "x", path: ConfigPath = PATH) -> ConfigChange:
    return ConfigChange(path=path, expected=Offset(expected), text=text)


def read(config: FleetConfig, offset: int, record: ConfigChange) -> ChangeResult:
    result = config.apply_change(Offset(offset), record)
    config.advance(Offset(offset + 1))
    return result


def test_a_change_needs_the_version_that_it_expects() -> None:
    config = FleetConfig()
    assert read(config, 1, change(0)) is ChangeResult.ACCEPTED
    assert read(config, 2, change(0)) is ChangeResult.CONFLICT
    assert read(config, 3, change(1, text="")) is ChangeResult.ACCEPTED
    assert config.document(PATH) is None
    assert config.version(PATH) == 3


def test_a_document_from_a_peer_arrives_before_its_change_in_the_log() -> None:
    config = FleetConfig()
    config.apply_entries(Offset(5), [ConfigEntry(PATH, Offset(3), "new")])
    assert read(config, 1, change(0)) is ChangeResult.SUPERSEDED
    assert read(config, 3, change(1, "new")) is ChangeResult.ACCEPTED
    assert config.version(PATH) == 3


def test_a_gap_leaves_changes_undecided_until_all_documents_are_known() -> None:
    config = FleetConfig()
    config.records_dropped(Offset(10))
    assert read(config, 10, change(0, "stale")) is ChangeResult.UNDECIDED
    assert read(config, 11, change(4, "right")) is ChangeResult.UNDECIDED
    config.mark_loaded()
    assert not config.is_loaded
    assert config.known_to == 1
    entry = SnapshotEntry(path=PATH, version=Offset(4), text="old")
    config.apply_snapshot(
        ConfigSnapshot(applied=Offset(10), entries=[entry], owners=[])
    )
    document = config.document(PATH)
    assert document is not None
    assert (document.version, document.text) == (11, "right")
    assert config.is_loaded
    assert config.known_to == 12


def test_a_peer_that_knows_less_than_the_gap_does_not_fill_it() -> None:
    config = FleetConfig()
    config.records_dropped(Offset(10))
    config.apply_entries(Offset(9), [])
    assert not config.is_complete
    config.apply_entries(Offset(10), [])
    assert config.is_complete


def test_documents_of_a_peer_that_is_not_loaded_do_not_count_as_loaded() -> None:
    config = FleetConfig()
    config.apply_entries(Offset(0), [])
    assert not config.is_loaded


@given(
    st.lists(
        st.tuples(st.sampled_from(PATHS), st.integers(0, 12), st.sampled_from("xyz")),
        max_size=12,
    ),
    st.integers(1, 12),
    st.integers(1, 12),
    st.booleans(),
)
def test_every_source_of_changes_leads_to_the_same_documents(
    written: list[tuple[ConfigPath, int, str]], dropped: int, known: int, late: bool
) -> None:
    records = [change(expected, text, path) for path, expected, text in written]
    whole, base = FleetConfig(), FleetConfig()
    for offset, record in enumerate(records, start=1):
        read(whole, offset, record)
        if offset < known:
            read(base, offset, record)
    late_reader = FleetConfig()
    late_reader.records_dropped(Offset(dropped))
    entries = base.entries_since(Offset(0))
    if not late:
        late_reader.apply_entries(base.known_to, entries)
    for offset, record in enumerate(records, start=1):
        if offset >= dropped:
            read(late_reader, offset, record)
    late_reader.apply_entries(base.known_to, entries)
    if late_reader.is_complete:
        assert late_reader.documents() == whole.documents()
    else:
        assert base.known_to < dropped

"""Comparing versions of the code on days of the bench."""

import io
import os
import subprocess
import sys
from collections.abc import Sequence
from math import sqrt
from pathlib import Path

import pytest

from tests.utils.mutants import MUTANTS
from tests.utils.source_edits import ROOT, SourceEdit, StaleEditError
from tests.utils.switch_offs import SWITCH_OFFS
from tools.compare_days import (
    BASE,
    Bench,
    CompareError,
    Comparison,
    Play,
    Result,
    Version,
    compare,
    format_rows,
    main,
    parse_options,
    read_result,
)
from tools.paired import compare_pairs

SITE = Path("/sites/office.toml")
PLAYS = [Play(SITE, "storm", seed) for seed in (1, 2, 3)]
VERSIONS = [Version(BASE, "a"), Version("new", "b")]


def result(worth: float) -> Result:
    return Result(worth, 0.9, 0.02, 0.05, 100.0, 7, (), {})


class FakeBench(Bench):
    """Returns prepared results; a play without one fails."""

    def __init__(self, worth_by_play: dict[tuple[str, int], float]) -> None:
        """Return results of this worth by version and seed."""
        super().__init__(Path("bench"), Path("work"), [])
        self._worth_by_play = worth_by_play

    def play(self, version: Version, play: Play, why: str) -> Result:
        try:
            return result(self._worth_by_play[version.name, play.seed])
        except KeyError:
            raise CompareError("the bench ended") from None


def play_all(worth_by_play: dict[tuple[str, int], float]) -> tuple[Comparison, str]:
    progress = io.StringIO()
    bench = FakeBench(worth_by_play)
    return compare(bench, VERSIONS, PLAYS, 2, "why", progress), progress.getvalue()


def test_difference_and_standard_error_are_of_pairs() -> None:
    found = compare_pairs([0.5, 0.7, 0.6], [0.6, 0.8, 0.8])
    assert found.difference == pytest.approx(0.4 / 3)
    # Differences 0.1, 0.1 and 0.2 have a standard deviation of 0.1 / sqrt(3).
    assert found.standard_error == pytest.approx(0.1 / 3)
    assert found.is_significant


@pytest.mark.parametrize(
    ("variant", "is_significant"),
    [([0.0, 0.0, 0.3], False), ([0.3, 0.3, 0.4], True), ([-0.3, -0.3, -0.4], True)],
)
def test_only_beyond_two_errors_counts(
    variant: Sequence[float], is_significant: bool
) -> None:
    assert compare_pairs([0.0, 0.0, 0.0], variant).is_significant is is_significant


def test_equal_differences_are_significant_and_none_are_not() -> None:
    assert compare_pairs([0.1, 0.2], [0.2, 0.3 + 1e-12]).is_significant
    assert not compare_pairs([0.1, 0.2], [0.1, 0.2]).is_significant


def test_a_single_pair_shows_no_difference() -> None:
    found = compare_pairs([0.1], [0.9])
    assert found.standard_error is None
    assert not found.is_significant


def test_unpaired_measurements_are_refused() -> None:
    with pytest.raises(ValueError, match="2 base but 1 variant"):
        compare_pairs([0.1, 0.2], [0.1])
    with pytest.raises(ValueError, match="no measurements"):
        compare_pairs([], [])


def test_rows_show_pairs_by_day_and_over_all_days() -> None:
    worth = {(BASE, 1): 0.5, (BASE, 2): 0.6, (BASE, 3): 0.7}
    worth |= {("new", 1): 0.6, ("new", 2): 0.71, ("new", 3): 0.81}
    comparison, progress = play_all(worth)
    rows = format_rows(comparison, VERSIONS, PLAYS)
    assert len(rows) == 2
    assert rows[0].startswith("new: office storm: n=3 0.600 -> 0.707 (+0.1067 +- ")
    assert "differs" in rows[0]
    assert "stopped_runs 7->7" in rows[1]
    assert progress.count("\n") == 6
    difference = comparison.difference("new", PLAYS)
    assert difference is not None
    assert difference.standard_error == pytest.approx(0.01 / sqrt(3) / sqrt(3))


def test_a_failed_play_leaves_its_pair_out_and_is_named() -> None:
    worth = {(BASE, 1): 0.5, (BASE, 2): 0.6, ("new", 1): 0.6, ("new", 3): 0.9}
    comparison, progress = play_all(worth)
    difference = comparison.difference("new", PLAYS)
    assert difference is not None
    assert difference.count == 1
    assert sorted(comparison.failures) == [
        "base office storm seed 3: the bench ended",
        "new office storm seed 2: the bench ended",
    ]
    assert progress.count("failed: the bench ended") == 2


def test_no_finished_pair_has_a_row_that_says_so() -> None:
    comparison, _ = play_all({})
    rows = format_rows(comparison, VERSIONS, PLAYS)
    assert rows[-1] == "new: all days: no pair of plays finished"


def test_a_day_that_the_bench_gave_up_is_an_error() -> None:
    entry = {"days": [], "error": "the run did not finish"}
    with pytest.raises(CompareError, match="the run did not finish"):
        read_result(entry, "")


def test_broken_rules_and_faults_are_reported() -> None:
    day = {"G": 0.4, "served": 0.5, "refused": 0.1, "failed": 0.2, "fault": "memory"}
    day |= {
        "rules": {"TWICE": 1},
        "parts": [["whole day", 0.3, 0.5]],
        "prices": [["core-seconds of work thrown away", 12.5, 0.01]],
    }
    output = "seen: 3 runs: 1 done, 1 failed, 42 stopped, 0 lapsed"
    found = read_result({"days": [day]}, output)
    assert found.rules == ("TWICE", "memory")
    assert found.thrown_away_core_s == 12.5
    assert found.stopped_runs == 42
    assert found.parts == {"whole day": 0.5}


@pytest.mark.parametrize(
    ("changes", "message"),
    [
        ({"--bench": "/nowhere/bench"}, "no such file: /nowhere/bench"),
        ({"--work": "/tmp/checkouts"}, "under the temporary directory"),
        ({"--jobs": "0"}, "0 is less than 1"),
        ({"--off": "gravity"}, "invalid choice: 'gravity'"),
    ],
)
def test_wrong_options_are_named(
    changes: dict[str, str], message: str, capsys: pytest.CaptureFixture[str]
) -> None:
    options = {"--bench": __file__, "--work": str(ROOT / "build"), "--why": "a test"}
    options |= changes
    arguments = [part for pair in options.items() for part in pair]
    with pytest.raises(SystemExit):
        parse_options([*arguments, "site.toml:storm"])
    assert message in capsys.readouterr().err


def test_an_unknown_site_is_named(capsys: pytest.CaptureFixture[str]) -> None:
    arguments = ["--bench", __file__, "--work", str(ROOT / "build"), "--why", "a test"]
    assert main([*arguments, "/nowhere/site.toml:storm"]) == 2
    assert "no such site file: /nowhere/site.toml" in capsys.readouterr().err


def test_an_unknown_revision_is_named(
    tmp_path: Path, capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    site = tmp_path / "site.toml"
    site.touch()
    monkeypatch.setattr("tools.compare_days.tempfile.gettempdir", lambda: "/elsewhere")
    arguments = ["--bench", __file__, "--work", str(tmp_path / "w"), "--why", "a test"]
    assert main([*arguments, "--base", "no-such-revision", f"{site}:storm"]) == 2
    assert "no-such-revision" in capsys.readouterr().err


@pytest.mark.parametrize(
    "edit",
    [edit for switch_off in SWITCH_OFFS for edit in switch_off.edits]
    + [mutant.edit for mutant in MUTANTS],
    ids=lambda edit: f"{edit.path}: {edit.old.strip()[:30]}",
)
def test_edits_of_the_source_still_apply(edit: SourceEdit) -> None:
    edit.check(ROOT)


def test_a_stale_edit_is_an_error(tmp_path: Path) -> None:
    (tmp_path / "tamarackmount").mkdir()
    (tmp_path / "tamarackmount" / "a.py").write_text("x = 1\nx = 1\n")
    edit = SourceEdit("a.py", "x = 1", "x = 2")
    with pytest.raises(StaleEditError, match="2 places, not 1"):
        edit.apply(tmp_path)


@pytest.mark.parametrize(
    "command", [["tools/compare_days.py"], ["-m", "tools.compare_days"]]
)
def test_it_runs_as_a_script_and_as_a_module(command: list[str]) -> None:
    """Guards against modules that are found only with the repository in PYTHONPATH."""
    env = {name: value for name, value in os.environ.items() if name != "PYTHONPATH"}
    done = subprocess.run(
        [sys.executable, *command, "--help"],
        cwd=ROOT,
        env=env,
        capture_output=True,
        text=True,
        check=False,
    )
    assert done.returncode == 0, done.stderr
    assert "--seeds" in done.stdout


def test_the_script_runs_from_any_folder(tmp_path: Path) -> None:
    env = {name: value for name, value in os.environ.items() if name != "PYTHONPATH"}
    script = str(ROOT / "tools" / "compare_days.py")
    command = [sys.executable, script, "--help"]
    done = subprocess.run(
        command, cwd=tmp_path, env=env, capture_output=True, check=False
    )
    assert done.returncode == 0, done.stderr

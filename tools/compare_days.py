"""Compare versions of the code on days of the users' bench.

Plays each day with each seed on a base revision and on each variant, in checkouts of
their own, and prints the paired differences. A variant is a git revision, or the base
with one mechanism of :mod:`tests.utils.switch_offs` switched off.

    python -m tools.compare_days --bench FLEETBENCH --base REV --variant NAME=REV \
        --off MECHANISM --seeds 1,2,3 --work FOLDER --why TEXT SITE:DAY ...
"""

import argparse
import json
import re
import shutil
import signal
import subprocess
import sys
import tempfile
import threading
from collections.abc import Sequence
from concurrent.futures import Future, ThreadPoolExecutor, as_completed
from dataclasses import asdict, dataclass, field
from pathlib import Path
from typing import Any, TextIO

if not __package__:  # A script: only its own folder would be searched for modules.
    sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from tests.utils.source_edits import ROOT, StaleEditError  # noqa: E402
from tests.utils.switch_offs import SWITCH_OFFS_BY_NAME  # noqa: E402
from tools.paired import PairedDifference, compare_pairs  # noqa: E402

BASE = "base"
"""Name of the version that the variants are compared with."""

REQUIREMENTS = ("constraints.txt", "deploy/requirements.txt")
"""Files that decide which libraries a version needs."""

SNAPSHOT_LINE = re.compile(r"^snapshot (\w+)$", re.MULTILINE)
STOPPED_RUNS = re.compile(r" (\d+) stopped,")
THROWN_AWAY = "core-seconds of work thrown away"
"""Name of a price in the bench's journal."""


class CompareError(Exception):
    """A version can't be prepared, or an argument is wrong."""


@dataclass(frozen=True, slots=True)
class Version:
    """A version of the code: a revision, perhaps with a mechanism switched off."""

    name: str
    revision: str
    switch_off: str = ""


@dataclass(frozen=True, slots=True)
class Play:
    """One day of one site with one seed; ``seed`` 0 is the day's own."""

    site: Path
    day: str
    seed: int

    def __str__(self) -> str:
        """Return the site, day and seed."""
        return f"{self.site.stem} {Path(self.day).stem} seed {self.seed or 'own'}"


@dataclass(frozen=True, slots=True)
class Result:
    """What the bench reports of one play; ``rules`` are the broken ones."""

    worth: float
    served: float
    refused: float
    failed: float
    thrown_away_core_s: float
    stopped_runs: int
    rules: tuple[str, ...]
    parts: dict[str, float]


@dataclass(slots=True)
class Comparison:
    """The results of all versions by play, and the plays that failed."""

    results: dict[tuple[str, Play], Result] = field(default_factory=dict)
    failures: list[str] = field(default_factory=list)

    def difference(
        self, variant: str, plays: Sequence[Play], measure: str = "worth"
    ) -> PairedDifference | None:
        """Compare a variant with the base on the plays that both have finished."""
        pairs = [
            (self.results[BASE, play], self.results[variant, play])
            for play in plays
            if (BASE, play) in self.results and (variant, play) in self.results
        ]
        if not pairs:
            return None
        return compare_pairs(
            [getattr(before, measure) for before, _ in pairs],
            [getattr(after, measure) for _, after in pairs],
        )


def read_result(entry: dict[str, Any], output: str) -> Result:
    """Return the result of a play from its journal entry and printed output.

    Raise :exc:`CompareError` if the bench did not finish the day.
    """
    if not entry.get("days"):
        raise CompareError(f"no day in the journal: {entry.get('error')}")
    day = entry["days"][0]
    thrown_away = next(
        (amount for name, amount, _ in day["prices"] if name == THROWN_AWAY), 0.0
    )
    stopped = STOPPED_RUNS.search(output)
    return Result(
        worth=day["G"],
        served=day["served"],
        refused=day["refused"],
        failed=day["failed"],
        thrown_away_core_s=thrown_away,
        stopped_runs=int(stopped.group(1)) if stopped else 0,
        rules=tuple(day["rules"]) + ((day["fault"],) if day["fault"] else ()),
        parts={name: share for name, _, share in day["parts"]},
    )


class Bench:
    """Plays days in the checkouts of versions, and ends what it started."""

    def __init__(self, program: Path, folder: Path, options: Sequence[str]) -> None:
        """Make checkouts below ``folder``; pass ``options`` to each play."""
        self._program = program
        self._folder = folder
        self._options = options
        self._processes: set[subprocess.Popen[str]] = set()
        self._lock = threading.Lock()

    def prepare(self, version: Version) -> None:
        """Check out and build a version; raise :exc:`CompareError` if that fails."""
        checkout = self._checkout(version)
        if checkout.exists():
            shutil.rmtree(checkout)
        _run(["git", "clone", "--quiet", "--shared", str(ROOT), str(checkout)], ROOT)
        _run(["git", "checkout", "--quiet", "--detach", version.revision], checkout)
        if version.switch_off:
            for edit in SWITCH_OFFS_BY_NAME[version.switch_off].edits:
                try:
                    edit.apply(checkout)
                except StaleEditError as error:
                    raise CompareError(f"{version.switch_off}: {error}") from error
        self._share_libraries(checkout)
        _run([str(self._program), "build"], checkout)

    def _share_libraries(self, checkout: Path) -> None:
        """Copy the installed libraries of the base, if the version wants the same."""
        base = self._folder / BASE
        built = base / "target" / "deps"
        if checkout == base or not built.is_dir():
            return
        if any(
            (base / name).read_bytes() != (checkout / name).read_bytes()
            for name in REQUIREMENTS
        ):
            return
        copied = checkout / "target" / "deps"
        shutil.copytree(built, copied)
        # The build step compares the time of this folder with that of the list.
        copied.touch()

    def play(self, version: Version, play: Play, why: str) -> Result:
        """Play a day; raise :exc:`CompareError` if the bench did not finish it."""
        checkout = self._checkout(version)
        command = [str(self._program), "run", str(play.site), play.day]
        if play.seed:
            command += ["--seed", str(play.seed)]
        command += ["--jobs", "1", "--why", f"{why} ({version.name})", *self._options]
        process = subprocess.Popen(
            command,
            cwd=checkout,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
            start_new_session=True,
        )
        with self._lock:
            self._processes.add(process)
        output, _ = process.communicate()
        with self._lock:
            self._processes.discard(process)
        snapshot = SNAPSHOT_LINE.search(output)
        if snapshot is None:
            raise CompareError(f"exit {process.returncode}: {output.strip()[-200:]}")
        path = next((checkout / "journal").glob(f"*-{snapshot.group(1)}.json"))
        return read_result(json.loads(path.read_text(encoding="utf-8")), output)

    def end_all(self) -> None:
        """End the plays that are still running."""
        with self._lock:
            for process in self._processes:
                process.terminate()

    def collect_journal(self, versions: Sequence[Version]) -> None:
        """Copy the journal entries of all checkouts to this repository."""
        for version in versions:
            journal = self._checkout(version) / "journal"
            for path in journal.rglob("*"):
                target = ROOT / "journal" / path.relative_to(journal)
                if path.is_file() and not target.exists():
                    target.parent.mkdir(parents=True, exist_ok=True)
                    shutil.copy2(path, target)

    def _checkout(self, version: Version) -> Path:
        return self._folder / version.name


def compare(
    bench: Bench,
    versions: Sequence[Version],
    plays: Sequence[Play],
    jobs: int,
    why: str,
    progress: TextIO,
) -> Comparison:
    """Play every day on every version, ``jobs`` at once."""
    comparison = Comparison()
    with ThreadPoolExecutor(jobs) as executor:
        futures: dict[Future[Result], tuple[Version, Play]] = {
            executor.submit(bench.play, version, play, why): (version, play)
            for play in plays
            for version in versions
        }
        try:
            for done, future in enumerate(as_completed(futures), 1):
                version, play = futures[future]
                outcome = _record(comparison, version, play, future)
                line = f"{done}/{len(futures)} {version.name} {play}: {outcome}"
                print(line, file=progress, flush=True)
        except KeyboardInterrupt:
            executor.shutdown(wait=False, cancel_futures=True)
            bench.end_all()
            raise
    return comparison


def _record(
    comparison: Comparison, version: Version, play: Play, future: "Future[Result]"
) -> str:
    try:
        result = future.result()
    except CompareError as error:
        comparison.failures.append(f"{version.name} {play}: {error}")
        return f"failed: {error}"
    comparison.results[version.name, play] = result
    broken = f", broken: {' '.join(result.rules)}" if result.rules else ""
    return f"{result.worth:.3f}{broken}"


def format_rows(
    comparison: Comparison, versions: Sequence[Version], plays: Sequence[Play]
) -> list[str]:
    """Return a row for each variant and day, and one for all days of the variant."""
    rows = []
    days = dict.fromkeys((play.site, play.day) for play in plays)
    for version in versions:
        if version.name == BASE:
            continue
        for site, day in days:
            of_day = [play for play in plays if (play.site, play.day) == (site, day)]
            title = f"{version.name}: {site.stem} {Path(day).stem}"
            rows.append(_format_row(comparison, version, of_day, title))
        rows.append(
            _format_row(comparison, version, plays, f"{version.name}: all days")
        )
    return rows


def _format_row(
    comparison: Comparison, version: Version, plays: Sequence[Play], title: str
) -> str:
    worth = comparison.difference(version.name, plays)
    if worth is None:
        return f"{title}: no pair of plays finished"
    error = "-" if worth.standard_error is None else f"{worth.standard_error:.4f}"
    verdict = "differs" if worth.is_significant else "no difference shown"
    text = (
        f"{title}: n={worth.count} {worth.base_mean:.3f} -> {worth.variant_mean:.3f}"
        f" ({worth.difference:+.4f} +- {error}, {verdict})"
    )
    for measure in ("served", "refused", "failed"):
        part = comparison.difference(version.name, plays, measure)
        if part is not None:
            text += f" {measure} {part.base_mean:.3f}->{part.variant_mean:.3f}"
    for measure in ("stopped_runs", "thrown_away_core_s"):
        part = comparison.difference(version.name, plays, measure)
        if part is not None:
            text += f" {measure} {part.base_mean:.0f}->{part.variant_mean:.0f}"
    return text


def _run(command: Sequence[str], folder: Path) -> None:
    done = subprocess.run(
        command, cwd=folder, capture_output=True, text=True, check=False
    )
    if done.returncode:
        text = (done.stderr or done.stdout).strip()[-300:]
        raise CompareError(f"{' '.join(command)}: exit {done.returncode}: {text}")


def parse_options(arguments: Sequence[str]) -> argparse.Namespace:
    """Read the command line; exit with a message if it is wrong."""
    parser = argparse.ArgumentParser(description=(__doc__ or "").split("\n")[0])
    parser.add_argument("days", nargs="+", metavar="SITE:DAY")
    parser.add_argument("--bench", type=Path, required=True)
    parser.add_argument("--base", default="HEAD", help="revision to compare with")
    parser.add_argument("--variant", action="append", default=[], metavar="NAME=REV")
    parser.add_argument(
        "--off", action="append", default=[], choices=sorted(SWITCH_OFFS_BY_NAME)
    )
    parser.add_argument("--seeds", default="0", help="comma-separated; 0: the day's")
    parser.add_argument("--jobs", type=int, default=2)
    parser.add_argument("--work", type=Path, required=True, help="for checkouts")
    parser.add_argument("--why", required=True)
    parser.add_argument("--cpu", action="store_true", help="charge processor time")
    parser.add_argument("--json", action="store_true")
    options = parser.parse_args(arguments)
    if not options.bench.is_file():
        parser.error(f"--bench: no such file: {options.bench}")
    if options.work.resolve().is_relative_to(Path(tempfile.gettempdir()).resolve()):
        parser.error(f"--work: {options.work} is under the temporary directory")
    if options.jobs < 1:
        parser.error(f"--jobs: {options.jobs} is less than 1")
    return options


def _versions(options: argparse.Namespace) -> list[Version]:
    versions = [Version(BASE, options.base)]
    for text in options.variant:
        name, _, revision = text.partition("=")
        versions.append(Version(name, revision or name))
    versions += [Version(f"off-{name}", options.base, name) for name in options.off]
    return versions


def _plays(options: argparse.Namespace) -> list[Play]:
    plays = []
    for text in options.days:
        site, _, day = text.rpartition(":")
        if not Path(site).is_file():
            raise CompareError(f"{text}: no such site file: {site or '(none)'}")
        if day.endswith(".toml"):
            day = str(Path(day).resolve())
        for seed in options.seeds.split(","):
            plays.append(Play(Path(site).resolve(), day, int(seed)))
    return plays


def main(arguments: Sequence[str]) -> int:
    """Compare the versions; return 1 if a play failed, 2 if none could be started."""
    options = parse_options(arguments)
    bench_options = [] if options.cpu else ["--no-cpu"]
    bench = Bench(options.bench.resolve(), options.work.resolve(), bench_options)
    versions = _versions(options)
    try:
        plays = _plays(options)
        for version in versions:
            bench.prepare(version)
    except CompareError as error:
        print(f"compare_days: {error}", file=sys.stderr)
        return 2
    # A program that a shell started in the background ignores SIGINT otherwise.
    for number in (signal.SIGINT, signal.SIGTERM):
        signal.signal(number, signal.default_int_handler)
    try:
        comparison = compare(
            bench, versions, plays, options.jobs, options.why, sys.stderr
        )
    finally:
        bench.collect_journal(versions)
    if options.json:
        rows = [
            {"version": name, "play": str(play), **asdict(result)}
            for (name, play), result in comparison.results.items()
        ]
        print(json.dumps({"plays": rows, "failures": comparison.failures}))
    else:
        print("\n".join(format_rows(comparison, versions, plays)))
        for failure in comparison.failures:
            print(f"failed: {failure}")
    return 1 if comparison.failures else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))

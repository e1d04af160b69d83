"""The report shows every row of the verdict."""

import dataclasses
import json
from dataclasses import replace

from tamarackmount.demo.checks import Verdict, judge
from tamarackmount.demo.records import Revocation
from tamarackmount.demo.report import LABEL_BY_FIELD, json_line, table
from tests.utils.build_evidence import build_evidence


def test_every_field_of_the_verdict_has_a_row() -> None:
    names = [field.name for field in dataclasses.fields(Verdict)]
    assert list(LABEL_BY_FIELD) == names


def test_json_is_one_line_with_the_promised_fields() -> None:
    line = json_line(judge(build_evidence()))
    shown = json.loads(line)
    assert "\n" not in line
    assert {"answered", "not_run", "unknown", "doubled", "breaches"} <= set(shown)
    assert shown["answered"] == 1


def test_table_names_broken_promises() -> None:
    evidence = replace(build_evidence(), revocation=Revocation(None, 0))
    rows = table(judge(evidence)).splitlines()
    assert len(rows) == len(LABEL_BY_FIELD)
    assert rows[-1].endswith("a revoked key was never refused everywhere")

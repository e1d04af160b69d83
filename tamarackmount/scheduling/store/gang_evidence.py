"""The stored form of the evidence of a gang.

Earlier versions keep all evidence of a gang under its first task and don't tell its
members apart. It is still stored there, so that their limits hold over a change of the
holder to an earlier version and back.
"""

from collections.abc import Mapping, Sequence
from dataclasses import replace

from tamarackmount.scheduling.store.journal import CrashRecord


def merge_members(
    crashes_by_index: Mapping[int, Sequence[CrashRecord]],
) -> list[CrashRecord]:
    """Return the crashes under all members of a gang, each once with its members."""
    merged: list[CrashRecord] = []
    members_by_crash: dict[CrashRecord, list[int]] = {}
    for _, crashes in sorted(crashes_by_index.items()):
        for crash in crashes:
            if not crash.members:
                merged.append(crash)
                continue
            members = members_by_crash.setdefault(replace(crash, members=()), [])
            members.extend(crash.members)
    merged += [
        replace(crash, members=tuple(members))
        for crash, members in members_by_crash.items()
    ]
    return sorted(merged, key=lambda crash: crash.run_number)


def split_by_member(
    crashes: Sequence[CrashRecord], member_count: int
) -> dict[int, list[CrashRecord]]:
    """Return the crashes of a gang under each member that may have been there.

    Those of earlier versions, without members, are under the first one.
    """
    crashes_by_index: dict[int, list[CrashRecord]] = {}
    for crash in crashes:
        if not crash.members:
            crashes_by_index.setdefault(0, []).append(crash)
        for index in crash.members:
            if 0 <= index < member_count:
                crash_of_member = replace(crash, members=(index,))
                crashes_by_index.setdefault(index, []).append(crash_of_member)
    return crashes_by_index

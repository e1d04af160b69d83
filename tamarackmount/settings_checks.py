"""Check that the settings of one daemon are consistent with each other."""

import ipaddress
from collections.abc import Iterable, Iterator
from urllib.parse import urlsplit

from tamarackmount.problems import FieldProblem
from tamarackmount.settings import Settings, TimingSection
from tamarackmount.toml_lines import FieldPath

MIN_HEARTBEATS_PER_OWNER_LEASE = 4
"""Minimum owner lease, in heartbeats, so that a lost heartbeat doesn't end it."""

MIN_SYNCS_PER_TASK_LEASE = 3
"""Minimum task lease, in worker syncs, so that a lost sync doesn't lose the task."""

MIN_MARGINS_PER_LEASE = 2
"""Minimum lease, in clock margins, so that its holder has time to use it."""


def find_problems(settings: Settings) -> list[FieldProblem]:
    """Return all problems of settings whose fields are each valid."""
    return [
        *_address_problems(settings),
        *_url_problems(settings),
        *_peer_problems(settings),
        *_operator_problems(settings),
        *_timing_problems(settings.timing),
    ]


def _address_problems(settings: Settings) -> Iterator[FieldProblem]:
    hosts: list[tuple[FieldPath, str]] = [(("listen", "host"), settings.listen.host)]
    for index, peer in enumerate(settings.peers):
        hosts.append((("peers", index, "host"), peer.host))
    for path, host in hosts:
        if not _is_ip_address(host):
            yield FieldProblem(path, f"{host!r} is not an IP address")
    if settings.listen.http_port == settings.listen.peer_port:
        message = "is the same as http_port; give each its own"
        yield FieldProblem(("listen", "peer_port"), message)


def _is_ip_address(host: str) -> bool:
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return False
    return True


def _url_problems(settings: Settings) -> Iterator[FieldProblem]:
    urls = {
        "log_url": settings.platform.log_url,
        "vms_url": settings.platform.vms_url,
    }
    for name, url in urls.items():
        if not _is_complete_url(url):
            yield FieldProblem(("platform", name), f"{url!r} is not a complete URL")


def _is_complete_url(url: str) -> bool:
    try:
        parts = urlsplit(url)
        return bool(parts.hostname) and parts.port != 0
    except ValueError:
        return False


def _peer_problems(settings: Settings) -> Iterator[FieldProblem]:
    member = settings.member
    listen = settings.listen
    names_by_id: dict[str, str] = {member.id: "this member"}
    names_by_address = {(listen.host, listen.peer_port): "this member"}
    for index, peer in enumerate(settings.peers):
        name = f"peers[{index}]"
        other = names_by_id.setdefault(peer.id, name)
        if other != name:
            yield FieldProblem(
                ("peers", index, "id"), f"{peer.id!r} is also the id of {other}"
            )
        address = (peer.host, peer.peer_port)
        other = names_by_address.setdefault(address, name)
        if other != name:
            message = f"{peer.host}:{peer.peer_port} is also the address of {other}"
            yield FieldProblem(("peers", index, "host"), message)


def _operator_problems(settings: Settings) -> Iterator[FieldProblem]:
    seen: set[str] = set()
    for index, sha256 in enumerate(settings.operators.key_sha256):
        if sha256 in seen:
            path = ("operators", "key_sha256", index)
            yield FieldProblem(path, "is listed twice")
        seen.add(sha256)


def _timing_problems(timing: TimingSection) -> Iterable[FieldProblem]:
    """Find times that are too short for the periods they depend on."""
    margins_ms = MIN_MARGINS_PER_LEASE * timing.clock_margin_ms
    minima = [
        (
            "owner_lease_ms",
            timing.owner_lease_ms,
            MIN_HEARTBEATS_PER_OWNER_LEASE * timing.heartbeat_ms,
            f"{MIN_HEARTBEATS_PER_OWNER_LEASE} times heartbeat_ms",
        ),
        (
            "owner_lease_ms",
            timing.owner_lease_ms,
            margins_ms,
            f"{MIN_MARGINS_PER_LEASE} times clock_margin_ms",
        ),
        (
            "task_lease_ms",
            timing.task_lease_ms,
            MIN_SYNCS_PER_TASK_LEASE * timing.worker_sync_ms,
            f"{MIN_SYNCS_PER_TASK_LEASE} times worker_sync_ms",
        ),
        # A lease was renewed up to one sync before its owner failed, and another
        # member may claim ownership only after the owner lease.
        (
            "task_lease_ms",
            timing.task_lease_ms,
            timing.owner_lease_ms + timing.worker_sync_ms,
            "owner_lease_ms plus worker_sync_ms",
        ),
        # The record of an attempt must outlast a change of owner: a member may claim
        # ownership only this long after the owner's last heartbeat.
        (
            "attempt_memory_ms",
            timing.attempt_memory_ms,
            timing.owner_lease_ms + timing.clock_margin_ms,
            "owner_lease_ms plus clock_margin_ms",
        ),
    ]
    for name, value, minimum, meaning in minima:
        if value < minimum:
            message = f"{value} is below the minimum of {minimum}, which is {meaning}"
            yield FieldProblem(("timing", name), message)

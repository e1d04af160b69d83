"""Build settings and documents as TOML texts."""

import hashlib

SETTINGS_TEXT = f"""\
[member]
id = "entry-1"
data_centre = "dc1"

[listen]
host = "192.0.2.1"
http_port = 8080
peer_port = 8081

[platform]
log_url = "http://192.0.2.100:9000"
vms_url = "http://192.0.2.100:9001"

[operators]
key_sha256 = ["{hashlib.sha256(b"operator").hexdigest()}"]

[[peers]]
id = "entry-2"
data_centre = "dc1"
host = "192.0.2.2"
peer_port = 8081

[[peers]]
id = "entry-3"
data_centre = "dc2"
host = "192.0.2.3"
peer_port = 8081

[timing]
heartbeat_ms = 250
owner_lease_ms = 1500
"""
"""Valid settings: 31 lines; the second peer starts on line 23."""


def sha256_of(key: str) -> str:
    """Return the hash under which a key is stored."""
    return hashlib.sha256(key.encode()).hexdigest()


def settings_text(*changes: tuple[str, str]) -> str:
    """Return the settings with the first occurrence of each old text replaced."""
    text = SETTINGS_TEXT
    for old, new in changes:
        assert old in text, old
        text = text.replace(old, new, 1)
    return text


def team_text(share: str = "1.0", *, keys: tuple[str, ...] = ("counter",)) -> str:
    """Return a team's document; the key under ``counter`` is ``counter-key``."""
    lines = [f"share = {share}", "", "[ceiling]", "running_tasks = 100"]
    for name in keys:
        lines += ["", f"[keys.{name}]", f'sha256 = "{sha256_of(f"{name}-key")}"']
    return "\n".join(lines) + "\n"

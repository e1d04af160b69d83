"""Write documents as TOML and edit the keys of team documents.

An edit preserves the rest of the text, including its comments. If the edited text
doesn't parse to the intended document, the whole document is rendered again, without
comments.
"""

import tomllib

from tamarackmount.documents import Ceiling, Document, Key, TeamDocument, WhenCutOff
from tamarackmount.ids import KeyHash
from tamarackmount.toml_lines import locate_fields


def render_document(document: Document) -> str:
    """Return a document as TOML."""
    if isinstance(document, TeamDocument):
        return render_team(document)
    fields = document.model_dump(mode="json")
    lines = [f"{name} = {_scalar(value)}" for name, value in fields.items()]
    return "\n".join(lines) + "\n"


def render_team(team: TeamDocument) -> str:
    """Return a team's document as TOML."""
    lines = [f"share = {_scalar(team.share)}"]
    if team.when_cut_off is not WhenCutOff.SERVE:
        lines.append(f"when_cut_off = {_scalar(team.when_cut_off.value)}")
    lines += _ceiling_lines(team.ceiling)
    for name, key in team.keys.items():
        lines += _key_lines(name, key)
    return "\n".join(lines) + "\n"


def add_key(text: str, name: str, sha256: KeyHash) -> str:
    """Return a valid team document's text with one more key, under a new name."""
    key = Key(sha256=sha256)
    wanted = _with_key(TeamDocument.model_validate(tomllib.loads(text)), name, key)
    separator = "" if text.endswith("\n") else "\n"
    edited = text + separator + "\n".join(_key_lines(name, key)) + "\n"
    return edited if _parses_to(edited, wanted) else render_team(wanted)


def revoke_key(text: str, name: str) -> str:
    """Return a valid team document's text with one of its keys revoked."""
    team = TeamDocument.model_validate(tomllib.loads(text))
    wanted = _with_key(team, name, team.keys[name].model_copy(update={"revoked": True}))
    edited = _insert_revoked(text, name)
    return edited if _parses_to(edited, wanted) else render_team(wanted)


def _scalar(value: str | float) -> str:
    """Return a number, or a string without quotes or control characters, as TOML."""
    if isinstance(value, bool):
        return str(value).lower()
    return f'"{value}"' if isinstance(value, str) else repr(value)


def _with_key(team: TeamDocument, name: str, key: Key) -> TeamDocument:
    return team.model_copy(update={"keys": {**team.keys, name: key}})


def _parses_to(text: str, wanted: TeamDocument) -> bool:
    try:
        return TeamDocument.model_validate(tomllib.loads(text)) == wanted
    except ValueError:
        return False


def _insert_revoked(text: str, name: str) -> str:
    """Replace the key's ``revoked`` line, or add one below its table header."""
    lines_by_path = locate_fields(text)
    lines = text.split("\n")
    revoked_line = lines_by_path.get(("keys", name, "revoked"))
    if revoked_line is not None:
        lines[revoked_line - 1] = "revoked = true"
    else:
        lines.insert(lines_by_path[("keys", name)], "revoked = true")
    return "\n".join(lines)


def _ceiling_lines(ceiling: Ceiling) -> list[str]:
    limits = ceiling.model_dump(exclude_none=True)
    if not limits:
        return []
    return ["", "[ceiling]", *(f"{name} = {limit}" for name, limit in limits.items())]


def _key_lines(name: str, key: Key) -> list[str]:
    lines = ["", f"[keys.{name}]", f'sha256 = "{key.sha256}"']
    return [*lines, "revoked = true"] if key.revoked else lines

"""TOML texts of documents: writing new ones and changing teams' keys.

A change keeps the rest of the text, with its comments, wherever that can be done;
else the document is written anew. Either way the result is read back and compared.
"""

import tomllib

from tamarackmount.documents import Ceiling, Document, Key, TeamDocument, WhenCutOff
from tamarackmount.ids import KeyHash
from tamarackmount.toml_lines import locate_fields


def render_document(document: Document) -> str:
    """Return the text of a document."""
    if isinstance(document, TeamDocument):
        return render_team(document)
    fields = document.model_dump(mode="json")
    lines = [f"{name} = {_scalar(value)}" for name, value in fields.items()]
    return "\n".join(lines) + "\n"


def render_team(team: TeamDocument) -> str:
    """Return the text of a team's document."""
    lines = [f"share = {_scalar(team.share)}"]
    if team.when_cut_off is not WhenCutOff.SERVE:
        lines.append(f"when_cut_off = {_scalar(team.when_cut_off.value)}")
    lines += _ceiling_lines(team.ceiling)
    for name, key in team.keys.items():
        lines += _key_lines(name, key)
    return "\n".join(lines) + "\n"


def add_key(text: str, name: str, sha256: KeyHash) -> str:
    """Return a valid team's text with one more key, whose name must be free."""
    key = Key(sha256=sha256)
    wanted = _with_key(TeamDocument.model_validate(tomllib.loads(text)), name, key)
    separator = "" if text.endswith("\n") else "\n"
    edited = text + separator + "\n".join(_key_lines(name, key)) + "\n"
    return edited if _reads_as(edited, wanted) else render_team(wanted)


def revoke_key(text: str, name: str) -> str:
    """Return a valid team's text with one of its keys revoked."""
    team = TeamDocument.model_validate(tomllib.loads(text))
    wanted = _with_key(team, name, team.keys[name].model_copy(update={"revoked": True}))
    edited = _insert_revoked(text, name)
    return edited if _reads_as(edited, wanted) else render_team(wanted)


def _scalar(value: str | float) -> str:
    """Return a text without quotes or control characters, or a number, as TOML."""
    if isinstance(value, bool):
        return str(value).lower()
    return f'"{value}"' if isinstance(value, str) else repr(value)


def _with_key(team: TeamDocument, name: str, key: Key) -> TeamDocument:
    return team.model_copy(update={"keys": {**team.keys, name: key}})


def _reads_as(text: str, wanted: TeamDocument) -> bool:
    try:
        return TeamDocument.model_validate(tomllib.loads(text)) == wanted
    except ValueError:
        return False


def _insert_revoked(text: str, name: str) -> str:
    """Set ``revoked`` in place, or just below the header of the key's table."""
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

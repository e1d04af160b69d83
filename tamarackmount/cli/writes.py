"""Changes of configuration documents, settled by reading back."""

from returns.result import Failure, Result, Success

from tamarackmount.client import Client
from tamarackmount.client_views import CallError, CallOutcome, ChangeView
from tamarackmount.context import Environment
from tamarackmount.ids import ConfigPath, Offset

ABSENT = Offset(0)
"""Version of a document that doesn't exist."""

DELETED_TEXT = ""
"""Text that stands for a document that was removed."""

READ_BACK_TRIES = 6
"""How often a document is read back to settle a change with an unknown outcome."""

READ_BACK_INTERVAL_S = 0.5
"""Time between two such reads, in seconds."""


async def read_version(client: Client, path: ConfigPath) -> Result[Offset, CallError]:
    """Return a document's version, :data:`ABSENT` if there is no such document."""
    result = await client.read_config(path)
    if isinstance(result, Failure):
        error = result.failure()
        return Success(ABSENT) if error.status == 404 else Failure(error)
    return Success(result.unwrap().version)


async def write_document(
    env: Environment, client: Client, path: ConfigPath, text: str, version: Offset
) -> Result[ChangeView, CallError]:
    """Replace a document that is at ``version``."""
    result = await client.write_config(path, text, version)
    return await _settle(env, client, path, text, version, result)


async def delete_document(
    env: Environment, client: Client, path: ConfigPath, version: Offset
) -> Result[ChangeView, CallError]:
    """Remove a document that is at ``version``."""
    result = await client.delete_config(path, version)
    return await _settle(env, client, path, DELETED_TEXT, version, result)


async def _settle(
    env: Environment,
    client: Client,
    path: ConfigPath,
    text: str,
    version: Offset,
    result: Result[ChangeView, CallError],
) -> Result[ChangeView, CallError]:
    """Look in the document's history for a change whose outcome is unknown."""
    if not isinstance(result, Failure):
        return result
    if result.failure().outcome is not CallOutcome.UNKNOWN:
        return result
    for _ in range(READ_BACK_TRIES):
        found = await _find_version(client, path, text, version)
        if found is not None:
            return Success(ChangeView(version=found))
        await env.sleep(READ_BACK_INTERVAL_S)
    return result


async def _find_version(
    client: Client, path: ConfigPath, text: str, version: Offset
) -> Offset | None:
    """Return the first version above ``version`` that has the text, if seen."""
    history = await client.read_history(path)
    if isinstance(history, Failure):
        return None
    for entry in history.unwrap().versions:
        if entry.version > version and entry.text == text:
            return entry.version
    return None

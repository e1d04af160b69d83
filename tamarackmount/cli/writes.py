"""Write and delete configuration documents.

A change whose outcome is unknown, for example because the response was lost, is
looked up in the document's history.
"""

from returns.result import Failure, Result, Success

from tamarackmount.client import Client
from tamarackmount.client_views import CallError, CallOutcome, ChangeView
from tamarackmount.context import Environment
from tamarackmount.ids import ConfigPath, Offset

ABSENT_VERSION = Offset(0)
"""Version of a document that doesn't exist."""

DELETED_TEXT = ""
"""Text of a removed document in its history."""

MAX_HISTORY_READS = 6
"""Maximum number of reads of the history to find a change with unknown outcome."""

HISTORY_READ_INTERVAL_S = 0.5
"""Wait after each read that doesn't show the change, in seconds."""


async def read_version(client: Client, path: ConfigPath) -> Result[Offset, CallError]:
    """Return a document's version, or :data:`ABSENT_VERSION` if it doesn't exist."""
    result = await client.read_config(path)
    if isinstance(result, Failure):
        error = result.failure()
        return Success(ABSENT_VERSION) if error.status == 404 else Failure(error)
    return Success(result.unwrap().version)


async def write_document(
    env: Environment, client: Client, path: ConfigPath, text: str, version: Offset
) -> Result[ChangeView, CallError]:
    """Replace a document that is at ``version``, or create it if that is 0.

    If the outcome is still unknown after the reads of the history, return the error
    of the write.
    """
    result = await client.write_config(path, text, version)
    return await _resolve_outcome(env, client, path, text, version, result)


async def delete_document(
    env: Environment, client: Client, path: ConfigPath, version: Offset
) -> Result[ChangeView, CallError]:
    """Remove a document that is at ``version``.

    An unknown outcome is treated as in :func:`write_document`.
    """
    result = await client.delete_config(path, version)
    return await _resolve_outcome(env, client, path, DELETED_TEXT, version, result)


async def _resolve_outcome(
    env: Environment,
    client: Client,
    path: ConfigPath,
    text: str,
    version: Offset,
    result: Result[ChangeView, CallError],
) -> Result[ChangeView, CallError]:
    """Look up the change in the history if its outcome is unknown.

    Return the original result if none of the reads shows the change.
    """
    if not isinstance(result, Failure):
        return result
    if result.failure().outcome is not CallOutcome.UNKNOWN:
        return result
    for _ in range(MAX_HISTORY_READS):
        new_version = await _find_new_version(client, path, text, version)
        if new_version is not None:
            return Success(ChangeView(version=new_version))
        await env.sleep(HISTORY_READ_INTERVAL_S)
    return result


async def _find_new_version(
    client: Client, path: ConfigPath, text: str, version: Offset
) -> Offset | None:
    """Return the first version above ``version`` that has the text, or ``None``."""
    history = await client.read_history(path)
    if isinstance(history, Failure):
        return None
    for entry in history.unwrap().versions:
        if entry.version > version and entry.text == text:
            return entry.version
    return None

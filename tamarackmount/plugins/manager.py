"""Registry class for plug-ins that are chosen by name.

Each kind of plug-in has a registry of its own, in the module of that kind.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Generic, TypeVar

from returns.result import Failure, Result, Success

T = TypeVar("T")


@dataclass(frozen=True, slots=True)
class UnknownPlugin:
    """Failure of a lookup: no plug-in of the kind is registered under the name."""

    kind: str
    name: str
    known: tuple[str, ...]


class DuplicatePluginError(Exception):
    """Raised when two plug-ins of one kind are registered under the same name."""


class Registry(Generic[T]):
    """Plug-ins of one kind by name.

    A plug-in registers itself with the :meth:`register` decorator when its module
    is imported.
    """

    def __init__(self, kind: str) -> None:
        """Create an empty registry; ``kind`` names it in errors."""
        self._kind = kind
        self._plugins_by_name: dict[str, T] = {}

    def register(self, name: str) -> Callable[[T], T]:
        """Return a decorator that registers a plug-in under ``name``.

        Raises :class:`DuplicatePluginError` when the name is taken.
        """

        def decorate(plugin: T) -> T:
            if name in self._plugins_by_name:
                raise DuplicatePluginError(
                    f"{self._kind} {name!r} is already registered"
                )
            self._plugins_by_name[name] = plugin
            return plugin

        return decorate

    def get(self, name: str) -> Result[T, UnknownPlugin]:
        """Return the plug-in registered under ``name``."""
        plugin = self._plugins_by_name.get(name)
        if plugin is None:
            return Failure(UnknownPlugin(self._kind, name, self.names()))
        return Success(plugin)

    def names(self) -> tuple[str, ...]:
        """Return every registered name in alphabetical order."""
        return tuple(sorted(self._plugins_by_name))

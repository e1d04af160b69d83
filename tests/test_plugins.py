"""Registration and lookup of plug-ins."""

import pytest
from returns.result import Failure, Success

from tamarackmount.plugins.manager import DuplicatePluginError, Registry, UnknownPlugin


def build_registry() -> Registry[int]:
    registry: Registry[int] = Registry("number")
    registry.register("two")(2)
    registry.register("one")(1)
    return registry


def test_registered_plugin_is_found_by_name() -> None:
    assert build_registry().get("one") == Success(1)


def test_unknown_name_is_a_failure_that_lists_the_known_ones() -> None:
    failure = build_registry().get("three")
    assert failure == Failure(UnknownPlugin("number", "three", ("one", "two")))


def test_name_cannot_be_registered_twice() -> None:
    registry = build_registry()
    with pytest.raises(DuplicatePluginError):
        registry.register("one")(3)
    assert registry.get("one") == Success(1)


def test_decorator_returns_the_plugin_itself() -> None:
    registry: Registry[type] = Registry("class")

    @registry.register("example")
    class Example:
        pass

    assert registry.get("example") == Success(Example)


def test_names_are_in_alphabetical_order() -> None:
    assert build_registry().names() == ("one", "two")

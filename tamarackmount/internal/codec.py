"""Encoding of messages between processes in Cap'n Proto.

Each message is a dataclass; the schema has a struct of the same name, with the fields
in camel case, and an ``Envelope`` with a union of all messages.
"""

from dataclasses import dataclass, fields
from enum import Enum
from pathlib import Path
from typing import Any, Generic, TypeVar, get_args

import capnp
from cattrs import Converter
from cattrs.gen import make_dict_structure_fn, make_dict_unstructure_fn, override
from returns.result import Failure, Result, Success

from tamarackmount.ids import MemberId

MAX_MESSAGE_BYTES = 4 * 1024 * 1024
"""Largest encoded message that a member accepts, in bytes."""


class DecodeError(Enum):
    """Why bytes from a peer could not be decoded.

    ``UNKNOWN_MESSAGE`` is a message that this version does not know: the peer runs a
    newer one.
    """

    TOO_LARGE = "too_large"
    MALFORMED = "malformed"
    UNKNOWN_MESSAGE = "unknown_message"


M = TypeVar("M")


@dataclass(frozen=True, slots=True)
class Envelope(Generic[M]):
    """A message and the member that sent it."""

    sender: MemberId
    message: M


def _camel_case(name: str) -> str:
    first, *rest = name.split("_")
    return first + "".join(part.capitalize() for part in rest)


def _lower_first(name: str) -> str:
    return name[0].lower() + name[1:]


def _field_overrides(cls: type) -> dict[str, Any]:
    return {
        item.name: override(rename=_camel_case(item.name))
        for item in fields(cls)
        if _camel_case(item.name) != item.name
    }


def _make_converter() -> Converter:
    converter = Converter()
    converter.register_unstructure_hook_factory(
        lambda cls: hasattr(cls, "__dataclass_fields__"),
        lambda cls: make_dict_unstructure_fn(cls, converter, **_field_overrides(cls)),
    )
    converter.register_structure_hook_factory(
        lambda cls: hasattr(cls, "__dataclass_fields__"),
        lambda cls: make_dict_structure_fn(cls, converter, **_field_overrides(cls)),
    )
    converter.register_unstructure_hook(bytes, lambda value: value)
    converter.register_structure_hook(bytes, lambda value, _: bytes(value))
    return converter


_CONVERTER = _make_converter()


class Codec(Generic[M]):
    """Encodes and decodes the dataclasses of a union by a Cap'n Proto schema."""

    def __init__(self, schema: str, union: Any) -> None:
        """Load the file ``schema`` in this folder for the dataclasses of ``union``."""
        self._schema = capnp.load(str(Path(__file__).with_name(schema)))
        self._class_by_field = {
            _lower_first(cls.__name__): cls for cls in get_args(union)
        }
        self._field_by_class = {cls: name for name, cls in self._class_by_field.items()}

    def encode(self, envelope: Envelope[M]) -> bytes:
        """Return an envelope as bytes."""
        field = self._field_by_class[type(envelope.message)]
        payload = _CONVERTER.unstructure(envelope.message)
        builder = self._schema.Envelope.new_message(
            sender=envelope.sender, **{field: payload}
        )
        encoded: bytes = builder.to_bytes()
        return encoded

    def decode(self, data: bytes) -> Result[Envelope[M], DecodeError]:
        """Return the envelope that ``data`` encodes, or the reason why it has none."""
        if len(data) > MAX_MESSAGE_BYTES:
            return Failure(DecodeError.TOO_LARGE)
        try:
            with self._schema.Envelope.from_bytes(data) as reader:
                sender = MemberId(reader.sender)
                try:
                    field = reader.which()
                except capnp.KjException:
                    return Failure(DecodeError.UNKNOWN_MESSAGE)
                payload = getattr(reader, str(field)).to_dict()
            message = _CONVERTER.structure(payload, self._class_by_field[str(field)])
        except Exception:  # pycapnp and cattrs raise many types on invalid data
            return Failure(DecodeError.MALFORMED)
        return Success(Envelope(sender=sender, message=message))

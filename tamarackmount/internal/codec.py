"""Encoding of peer messages as Cap'n Proto, by the schema in ``peer.capnp``."""

from dataclasses import dataclass, fields
from enum import Enum
from pathlib import Path
from typing import Any, get_args

import capnp
from cattrs import Converter
from cattrs.gen import make_dict_structure_fn, make_dict_unstructure_fn, override
from returns.result import Failure, Result, Success

from tamarackmount.ids import MemberId
from tamarackmount.kernel.messages import PeerMessage

MAX_MESSAGE_BYTES = 4 * 1024 * 1024
"""Largest encoded message that a member accepts."""

_SCHEMA = capnp.load(str(Path(__file__).with_name("peer.capnp")))


class DecodeError(Enum):
    """Why bytes from a peer are not a message."""

    TOO_LARGE = "too_large"
    MALFORMED = "malformed"


@dataclass(frozen=True, slots=True)
class Envelope:
    """A message and the member that sent it."""

    sender: MemberId
    message: PeerMessage


def _camel_case(name: str) -> str:
    first, *rest = name.split("_")
    return first + "".join(part.capitalize() for part in rest)


def _lower_first(name: str) -> str:
    return name[0].lower() + name[1:]


def _renames(cls: type) -> dict[str, Any]:
    return {
        item.name: override(rename=_camel_case(item.name))
        for item in fields(cls)
        if _camel_case(item.name) != item.name
    }


def _make_converter() -> Converter:
    converter = Converter()
    converter.register_unstructure_hook_factory(
        lambda cls: hasattr(cls, "__dataclass_fields__"),
        lambda cls: make_dict_unstructure_fn(cls, converter, **_renames(cls)),
    )
    converter.register_structure_hook_factory(
        lambda cls: hasattr(cls, "__dataclass_fields__"),
        lambda cls: make_dict_structure_fn(cls, converter, **_renames(cls)),
    )
    converter.register_unstructure_hook(bytes, lambda value: value)
    converter.register_structure_hook(bytes, lambda value, _: bytes(value))
    return converter


_CONVERTER = _make_converter()
_CLASS_BY_FIELD = {_lower_first(cls.__name__): cls for cls in get_args(PeerMessage)}
_FIELD_BY_CLASS = {cls: name for name, cls in _CLASS_BY_FIELD.items()}


def encode(envelope: Envelope) -> bytes:
    """Return the bytes of an envelope."""
    field = _FIELD_BY_CLASS[type(envelope.message)]
    payload = _CONVERTER.unstructure(envelope.message)
    builder = _SCHEMA.Envelope.new_message(sender=envelope.sender, **{field: payload})
    encoded: bytes = builder.to_bytes()
    return encoded


def decode(data: bytes) -> Result[Envelope, DecodeError]:
    """Return the envelope in ``data``, or why there is none."""
    if len(data) > MAX_MESSAGE_BYTES:
        return Failure(DecodeError.TOO_LARGE)
    try:
        with _SCHEMA.Envelope.from_bytes(data) as reader:
            field = reader.which()
            payload = getattr(reader, str(field)).to_dict()
            sender = MemberId(reader.sender)
        message = _CONVERTER.structure(payload, _CLASS_BY_FIELD[str(field)])
    except Exception:  # pycapnp and cattrs raise many types for foreign bytes
        return Failure(DecodeError.MALFORMED)
    return Success(Envelope(sender=sender, message=message))

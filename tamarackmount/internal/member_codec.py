"""Codec of the messages between members."""

from tamarackmount.internal.codec import Codec
from tamarackmount.kernel.messages import PeerMessage

MEMBER_CODEC: Codec[PeerMessage] = Codec("peer.capnp", PeerMessage)
"""Codec of the messages between members, with the schema ``peer.capnp``."""

encode = MEMBER_CODEC.encode
decode = MEMBER_CODEC.decode

"""The gRPC codec of the messages between daemons."""

from __future__ import annotations

from typing import Any

from grpclib.encoding.base import CodecBase

from burdockgap.wire import Message, pack, unpack


class PeerCodec(CodecBase):
    """Encodes messages; a message type is one class or a tuple."""

    __content_subtype__ = "burdockgap"

    def encode(self, message: Message, message_type: Any) -> bytes:
        """
        Encode one message.

        :raises TypeError: if it is not of the declared type.
        """
        if not isinstance(message, message_type):
            raise TypeError(f"{message!r} is not of type {message_type}")
        return pack(message)

    def decode(self, data: bytes, message_type: Any) -> Message:
        """
        Decode one message of the declared type.

        :raises DecodeError: if the bytes are anything else.
        """
        decoded: Message = unpack(data, message_type)
        return decoded

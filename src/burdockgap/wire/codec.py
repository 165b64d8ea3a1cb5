"""
Encoding of messages as MessagePack arrays.

A message becomes ``[TAG, field, field, ...]``. Decoding checks the type
of every field, so that callers never get a message with malformed
fields.
"""

from __future__ import annotations

import types
import typing
from collections.abc import Callable
from typing import Any, TypeVar, Union

import msgpack

from burdockgap.wire.message import Message

_MessageT = TypeVar("_MessageT", bound=Message)
_Decoder = Callable[[Any], Any]


class DecodeError(ValueError):
    """The bytes are not a message of an expected type."""


def pack(msg: Message) -> bytes:
    """
    Encode a message.

    :param msg: the message.
    :return: its MessagePack bytes.
    """
    return bytes(msgpack.packb(_to_array(msg)))


def unpack(
    data: bytes, expected: type[_MessageT] | tuple[type[_MessageT], ...]
) -> _MessageT:
    """
    Decode one message of an expected type.

    :param data: the MessagePack bytes.
    :param expected: the accepted message type or types.
    :raises DecodeError: if the bytes are not such a message.
    """
    kinds = expected if isinstance(expected, tuple) else (expected,)
    try:
        array = msgpack.unpackb(data)
    except (ValueError, msgpack.exceptions.UnpackException) as exc:
        raise DecodeError(f"not MessagePack: {exc}") from exc
    return typing.cast("_MessageT", _from_array(array, kinds))


def _to_array(value: Any) -> Any:
    if isinstance(value, Message):
        return [value.TAG, *(_to_array(item) for item in value.values())]
    if isinstance(value, (list, tuple)):
        return [_to_array(item) for item in value]
    if isinstance(value, dict):
        return {key: _to_array(item) for key, item in value.items()}
    return value


def _from_array(array: Any, kinds: tuple[type[Message], ...]) -> Message:
    if not isinstance(array, list) or not array:
        raise DecodeError("a message is a non-empty array")
    for kind in kinds:
        if array[0] == kind.TAG:
            return _build(kind, array[1:])
    raise DecodeError(f"unexpected message tag {array[0]!r}")


def _build(kind: type[Message], values: list[Any]) -> Message:
    decoders = _field_decoders(kind)
    fields = {
        name: decode(value)
        for (name, decode), value in zip(decoders, values, strict=False)
    }
    try:
        return kind(**fields)
    except TypeError as exc:
        raise DecodeError(f"{kind.__name__}: {exc}") from exc


_decoders_by_kind: dict[type[Message], list[tuple[str, _Decoder]]] = {}


def _field_decoders(kind: type[Message]) -> list[tuple[str, _Decoder]]:
    known = _decoders_by_kind.get(kind)
    if known is None:
        hints = typing.get_type_hints(kind.__init__)
        known = [(name, _decoder(hints[name])) for name in kind.__slots__]
        _decoders_by_kind[kind] = known
    return known


def _decoder(hint: Any) -> _Decoder:
    origin = typing.get_origin(hint)
    if origin in (Union, types.UnionType):
        return _union_decoder(typing.get_args(hint))
    if origin is list:
        return _list_decoder(typing.get_args(hint)[0])
    if origin is dict:
        return _dict_decoder(*typing.get_args(hint))
    if isinstance(hint, type) and issubclass(hint, Message):
        return lambda value: _from_array(value, (hint,))
    return _scalar_decoder(hint)


def _scalar_decoder(hint: Any) -> _Decoder:
    accepted = (int, float) if hint is float else (hint,)

    def decode(value: Any) -> Any:
        if type(value) not in accepted:
            raise DecodeError(f"expected {hint}, got {type(value)}")
        return value

    return decode


def _list_decoder(item_hint: Any) -> _Decoder:
    item = _decoder(item_hint)

    def decode(value: Any) -> list[Any]:
        if not isinstance(value, list):
            raise DecodeError(f"expected a list, got {type(value)}")
        return [item(entry) for entry in value]

    return decode


def _dict_decoder(key_hint: Any, value_hint: Any) -> _Decoder:
    key = _decoder(key_hint)
    item = _decoder(value_hint)

    def decode(value: Any) -> dict[Any, Any]:
        if not isinstance(value, dict):
            raise DecodeError(f"expected a map, got {type(value)}")
        return {key(name): item(entry) for name, entry in value.items()}

    return decode


def _union_decoder(hints: tuple[Any, ...]) -> _Decoder:
    optional = type(None) in hints
    options = [hint for hint in hints if hint is not type(None)]
    if all(
        isinstance(hint, type) and issubclass(hint, Message)
        for hint in options
    ):
        kinds = tuple(options)

        def decode(value: Any) -> Any:
            if value is None and optional:
                return None
            return _from_array(value, kinds)

        return decode
    if len(options) != 1:
        raise TypeError(f"unsupported field type {hints}")
    inner = _decoder(options[0])
    return lambda value: None if value is None else inner(value)

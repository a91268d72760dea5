"""MessagePack and JSON by msgspec, with checked types."""

from __future__ import annotations

from typing import Any, TypeVar

import msgspec

_DecodedT = TypeVar('_DecodedT')

_encoder = msgspec.msgpack.Encoder()


class CodecError(ValueError):
    """Bytes do not hold a value of the expected type."""


def encode(message: Any) -> bytes:
    """Return the MessagePack form of a typed value."""
    return _encoder.encode(message)


def decode(frame: bytes | msgspec.Raw, kind: type[_DecodedT]) -> _DecodedT:
    """Return the typed value of MessagePack bytes; raises `CodecError`."""
    try:
        return msgspec.msgpack.decode(frame, type=kind)
    except (msgspec.DecodeError, ValueError) as error:
        raise CodecError(str(error)) from error


def encode_json(message: Any) -> bytes:
    """Return the JSON form of a typed value."""
    return msgspec.json.encode(message)


def decode_json(text: bytes | str, kind: type[_DecodedT]) -> _DecodedT:
    """Return the typed value of JSON text; raises `CodecError`."""
    try:
        return msgspec.json.decode(text, type=kind)
    except (msgspec.DecodeError, ValueError) as error:
        raise CodecError(str(error)) from error

"""MessagePack and JSON with type validation, based on msgspec."""

from __future__ import annotations

from typing import Any, Final, TypeVar

import msgspec

_DecodedT = TypeVar('_DecodedT')

# Deep nesting raises `RecursionError`.
_UNREADABLE: Final = (msgspec.DecodeError, ValueError, RecursionError)

_encoder = msgspec.msgpack.Encoder()


class CodecError(ValueError):
    """Bytes cannot be decoded into the expected type."""


def encode(message: Any) -> bytes:
    """Return a typed value encoded as MessagePack."""
    return _encoder.encode(message)


def decode(frame: bytes | msgspec.Raw, kind: type[_DecodedT]) -> _DecodedT:
    """Decode MessagePack into a typed value; raises `CodecError`."""
    try:
        return msgspec.msgpack.decode(frame, type=kind)
    except _UNREADABLE as error:
        raise CodecError(str(error)) from error


def encode_json(message: Any) -> bytes:
    """Return a typed value encoded as JSON."""
    return msgspec.json.encode(message)


def decode_json(text: bytes | str, kind: type[_DecodedT]) -> _DecodedT:
    """Decode JSON into a typed value; raises `CodecError`."""
    try:
        return msgspec.json.decode(text, type=kind)
    except _UNREADABLE as error:
        raise CodecError(str(error)) from error

"""Errors of requests that are refused while they arrive."""

from __future__ import annotations

from typing import ClassVar

from hornbeamline.exceptions import HornbeamlineError


class FramingError(HornbeamlineError):
    """The bytes of a client are not a request within the limits."""

    status: ClassVar[int] = 400
    reason: ClassVar[str] = 'malformed'


class HeadTooLargeError(FramingError):
    """A request head, or the empty lines before it, exceed the limit."""

    status = 431
    reason = 'head_too_large'


class BodyTooLargeError(FramingError):
    """A request body exceeds the limit."""

    status = 413
    reason = 'body_too_large'


class BodyOverheadError(FramingError):
    """Chunk extensions or trailers of a body exceed the limit."""

    status = 400
    reason = 'body_overhead'

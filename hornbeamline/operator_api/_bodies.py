"""Request bodies of the operator interface and their decoding."""

from __future__ import annotations

import asyncio
from typing import Annotated, Any, TypeVar

import falcon
from falcon.asgi import Request
from msgspec import Meta, Struct

from hornbeamline.configuration import Change
from hornbeamline.helpers.codec import CodecError, decode_json
from hornbeamline.inventory import Operation
from hornbeamline.operator_api.const import BODY_TIMEOUT_S, MAX_BODY_BYTES

_BodyT = TypeVar('_BodyT')

_ShortText = Annotated[str, Meta(max_length=128)]
_Identifier = Annotated[str, Meta(min_length=1, max_length=128)]


class _Body(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Base of a request body; unknown keys are rejected."""


class OperationBody(_Body, frozen=True, kw_only=True):
    """One operation of a configuration change."""

    action: str
    section: _Identifier
    name: _Identifier
    table: Any = None


class ChangeBody(_Body, frozen=True, kw_only=True):
    """A change of the configuration."""

    change_id: _Identifier
    base_revision: Annotated[int, Meta(ge=0)]
    operations: Annotated[list[OperationBody], Meta(min_length=1)]
    author: _ShortText = ''

    def to_change(self) -> Change:
        """Return the body as a change to propose."""
        operations = [
            Operation(body.action, body.section, body.name, body.table)
            for body in self.operations
        ]
        return Change(
            self.change_id,
            self.base_revision,
            operations,
            self.author,
        )


class VoterBody(_Body, frozen=True, kw_only=True):
    """Request to change one voter of the replicated log."""

    action: _Identifier
    name: _Identifier
    identity: _ShortText = ''
    address: _ShortText = ''


async def read_body(req: Request, body_type: type[_BodyT]) -> _BodyT:
    """Read and decode the JSON body of a request.

    Raises falcon's HTTP errors when the body is too large, incomplete
    after the time-out or invalid.
    """
    if (req.content_length or 0) > MAX_BODY_BYTES:
        raise falcon.HTTPContentTooLarge(title='body too large')
    try:
        async with asyncio.timeout(BODY_TIMEOUT_S):
            text = await req.stream.read(MAX_BODY_BYTES + 1)
    except TimeoutError as error:
        raise falcon.HTTPError(408, title='body incomplete') from error
    if len(text) > MAX_BODY_BYTES:
        raise falcon.HTTPContentTooLarge(title='body too large')
    try:
        return decode_json(text, body_type)
    except CodecError as error:
        raise falcon.HTTPBadRequest(
            title='invalid body',
            description=str(error),
        ) from error

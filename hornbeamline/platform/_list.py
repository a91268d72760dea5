"""Client of the platform's list of servers."""

from __future__ import annotations

import contextlib
import re
from ipaddress import AddressValueError, IPv4Address
from typing import Annotated, Final
from urllib.parse import urlencode

import msgspec

from hornbeamline.exceptions import GatewayError
from hornbeamline.gateway import Target, TargetHttp
from hornbeamline.platform._entries import split_page
from hornbeamline.telemetry import log_event

_HTTP_OK: Final = 200
_MAX_PAGES: Final = 400
_UNREADABLE: Final = (msgspec.DecodeError, ValueError, RecursionError)
_NAME: Final = re.compile('[!-~]{1,256}')
_PORT: Final = re.compile('[0-9]{1,5}')
_MAX_PORT: Final = 65_535
_MAX_SLOTS: Final = 1_000_000
_MAX_VERSION: Final = 256
_is_leaving_by_state: Final = {'ready': False, 'draining': True}


class ListUnavailableError(GatewayError):
    """The list of servers could not be read or decoded."""


class _Entry(msgspec.Struct, frozen=True, kw_only=True, rename='kebab'):
    id: str
    service: str
    address: str
    zone: str
    state: str
    slots: Annotated[int, msgspec.Meta(ge=0, le=_MAX_SLOTS)] = 1
    version: Annotated[str, msgspec.Meta(max_length=_MAX_VERSION)] = ''
    # Decoded apart, since a time that cannot be read must not hide a target.
    warmup_left_ms: msgspec.Raw = msgspec.Raw(b'0')


class _PageBody(msgspec.Struct, frozen=True, kw_only=True):
    instances: list[msgspec.Raw]
    next: str | None = None


class ServerList:
    """Reads the paginated list of servers.

    `calls` is the number of pages that the last read fetched.
    """

    def __init__(self, http: TargetHttp, address: str) -> None:
        """Store the HTTP client and the address of the list."""
        self._http = http
        self._address = address
        self._logged_unreadable = 0
        self.calls = 1

    async def read(self) -> list[Target]:
        """Fetch all pages and return the entries that can be decoded.

        Raises `ListUnavailableError`.
        """
        targets: list[Target] = []
        unreadable = 0
        token: str | None = None
        pages = 0
        while pages < _MAX_PAGES:
            pages += 1
            page = await self._read_page(token)
            for raw in page.instances:
                target = _read_entry(raw)
                if target is None:
                    unreadable += 1
                else:
                    targets.append(target)
            token = page.next
            if not token:
                break
        self.calls = pages
        if unreadable != self._logged_unreadable:
            self._logged_unreadable = unreadable
            log_event('targets.unreadable_entries', count=unreadable)
        return targets

    async def _read_page(self, token: str | None) -> _PageBody:
        query = f'?{urlencode({"page-token": token})}' if token else ''
        try:
            response, body = await self._http.fetch(
                self._address,
                'GET',
                f'/instances{query}',
            )
        except GatewayError as error:
            raise ListUnavailableError(str(error)) from error
        if response.status != _HTTP_OK:
            raise ListUnavailableError(
                f'server list answered with status {response.status}'
            )
        return _read_body(body)


def _read_body(body: bytes) -> _PageBody:
    """Return the content of a page; raises `ListUnavailableError`.

    Entries that no decoder can read do not hide the others.
    """
    with contextlib.suppress(*_UNREADABLE):
        return msgspec.json.decode(body, type=_PageBody)
    try:
        parts = split_page(body, b'"instances"', b'"next"')
        next_page = (
            msgspec.json.decode(parts.next_page, type=str | None)
            if parts.next_page
            else None
        )
    except _UNREADABLE as error:
        raise ListUnavailableError(str(error)) from error
    return _PageBody(
        instances=[msgspec.Raw(entry) for entry in parts.entries],
        next=next_page,
    )


def _read_entry(raw: msgspec.Raw) -> Target | None:
    """Return the target of an entry; None if it is invalid."""
    try:
        entry = msgspec.json.decode(raw, type=_Entry)
    except _UNREADABLE:
        return None
    if entry.state not in _is_leaving_by_state:
        return None
    # Ids become header values, and addresses parts of URLs.
    if not _NAME.fullmatch(entry.id) or not _is_address(entry.address):
        return None
    return Target(
        id=entry.id,
        service=entry.service,
        address=entry.address,
        data_centre=entry.zone,
        slots=entry.slots,
        is_leaving=_is_leaving_by_state[entry.state],
        version=entry.version,
        is_cold=_is_positive(entry.warmup_left_ms),
    )


def _is_positive(raw: msgspec.Raw) -> bool:
    """Return whether a JSON value is a number above 0, however large."""
    text = bytes(raw).decode('utf-8', 'replace')
    try:
        return float(text) > 0
    except ValueError:
        return False


def _is_address(text: str) -> bool:
    """Return whether a text is an IPv4 address with a port."""
    host, _, port = text.partition(':')
    if not _PORT.fullmatch(port) or not 0 < int(port) <= _MAX_PORT:
        return False
    try:
        IPv4Address(host)
    except AddressValueError:
        return False
    return True

"""Sources of the list of targets and their registry."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from pathlib import Path
from typing import Annotated, Final, Protocol, TypeVar

import aiohttp
import msgspec

from hornbeamline.helpers.codec import CodecError, decode_json
from hornbeamline.helpers.http_client import BoundedConnector
from hornbeamline.inventory import MembershipSource
from hornbeamline.membership._view import Report
from hornbeamline.membership.const import MAX_LIST_BYTES
from hornbeamline.membership.errors import (
    SourceFailedError,
    UnknownSourceError,
)

_HTTP_OK: Final = 200


class TargetList(msgspec.Struct, frozen=True):
    """Versioned list of targets from the platform; ignores unknown keys."""

    version: Annotated[int, msgspec.Meta(ge=0)]
    targets: dict[str, Report]


class Source(Protocol):
    """Source of the list of targets."""

    async def fetch(self, timeout_s: float) -> TargetList | None:
        """Return the list, or None if the source has none.

        Raises `SourceFailedError`.
        """

    async def close(self) -> None:
        """Release connections."""


_SourceT = TypeVar('_SourceT', bound=Callable[[str], Source])
_factories_by_kind: Final[dict[str, Callable[[str], Source]]] = {}


def source(kind: str) -> Callable[[_SourceT], _SourceT]:
    """Register a source by kind; it is created with the configured location."""

    def register(factory: _SourceT) -> _SourceT:
        _factories_by_kind[kind] = factory
        return factory

    return register


def make_source(settings: MembershipSource) -> Source:
    """Create the configured source; raises `UnknownSourceError`."""
    factory = _factories_by_kind.get(settings.kind)
    if factory is None:
        known = ', '.join(sorted(_factories_by_kind))
        raise UnknownSourceError(
            f'membership.kind: {settings.kind} is not one of {known}',
        )
    return factory(settings.location)


@source('none')
class NoSource:
    """Source without a list; availability follows reports and inventory."""

    def __init__(self, _location: str) -> None:
        """Ignore the location."""

    async def fetch(self, timeout_s: float) -> None:
        """Return None."""

    async def close(self) -> None:
        """Do nothing."""


@source('file')
class FileSource:
    """Source that reads a JSON file, which the platform replaces."""

    def __init__(self, location: str) -> None:
        """Initialize with the path of the file."""
        self._path = Path(location)

    async def fetch(self, timeout_s: float) -> TargetList:
        """Read the file; raises `SourceFailedError`."""
        try:
            async with asyncio.timeout(timeout_s):
                content = await asyncio.to_thread(self._read)
        except (OSError, TimeoutError) as error:
            raise SourceFailedError(f'{self._path}: {error!r}') from error
        return _parse(content, str(self._path))

    async def close(self) -> None:
        """Do nothing; the file is open only during a read."""

    def _read(self) -> bytes:
        with self._path.open('rb') as stream:
            return stream.read(MAX_LIST_BYTES + 1)


@source('http')
class HttpSource:
    """Source that fetches a JSON document over HTTP."""

    def __init__(self, location: str) -> None:
        """Initialize with the URL."""
        self._url = location
        self._session: aiohttp.ClientSession | None = None

    async def fetch(self, timeout_s: float) -> TargetList:
        """Fetch the document; raises `SourceFailedError`.

        A timeout closes the connection, so that the next fetch does not
        reuse one that does not respond.
        """
        if self._session is None:
            self._session = aiohttp.ClientSession(connector=BoundedConnector())
        try:
            async with self._session.get(
                self._url,
                timeout=aiohttp.ClientTimeout(total=timeout_s),
                allow_redirects=False,
            ) as response:
                content = await _read_bounded(response, self._url)
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise SourceFailedError(f'{self._url}: {error!r}') from error
        return _parse(content, self._url)

    async def close(self) -> None:
        """Close the connections."""
        if self._session is not None:
            await self._session.close()


async def _read_bounded(
    response: aiohttp.ClientResponse,
    location: str,
) -> bytes:
    if response.status != _HTTP_OK:
        raise SourceFailedError(f'{location}: HTTP status {response.status}')
    content = bytearray()
    async for chunk in response.content.iter_any():
        content.extend(chunk)
        if len(content) > MAX_LIST_BYTES:
            break
    return bytes(content)


def _parse(content: bytes, location: str) -> TargetList:
    if len(content) > MAX_LIST_BYTES:
        raise SourceFailedError(
            f'{location}: list is larger than {MAX_LIST_BYTES} bytes',
        )
    try:
        return decode_json(content, TargetList)
    except CodecError as error:
        raise SourceFailedError(f'{location}: {error}') from error

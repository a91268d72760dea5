"""Middleware for HTTP clients whose requests must not be sent twice."""

from __future__ import annotations

import aiohttp


class ConnectionEndedError(aiohttp.ClientConnectionError):
    """The connection of a request ended before the head of its response."""


async def forbid_resend(
    request: aiohttp.ClientRequest,
    handler: aiohttp.ClientHandlerType,
) -> aiohttp.ClientResponse:
    """Send a request once.

    aiohttp sends GET, HEAD, OPTIONS, TRACE, PUT and DELETE requests again,
    also over a new connection, after the errors that mean a lost connection.
    Raises `ConnectionEndedError` instead, which ends the request.
    """
    try:
        return await handler(request)
    except aiohttp.ClientConnectorError:
        # The connection was never established, and aiohttp does not repeat it.
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise ConnectionEndedError(repr(error)) from error

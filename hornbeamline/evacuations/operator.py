"""HTTP routes on which operators see, start and end evacuations."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any, Final

from falcon import HTTP_404, HTTP_503, asgi

from hornbeamline.evacuations._machine import EvacuationState
from hornbeamline.evacuations.errors import (
    EvacuationUnavailableError,
    UnknownDataCentreError,
)
from hornbeamline.evacuations.service import EvacuationService
from hornbeamline.helpers.caller_watch import watch_caller

PATH: Final = '/v1/evacuations'
_RETRY_AFTER_S: Final = '0.3'

Execute = Callable[[str, Callable[[], bool]], Awaitable[EvacuationState]]


class _State:
    """Route that returns the evacuated data centres."""

    def __init__(self, service: EvacuationService) -> None:
        self._service = service

    async def on_get(
        self,
        _request: asgi.Request,
        response: asgi.Response,
    ) -> None:
        """Return the newest state."""
        try:
            response.media = (await self._service.read())._asdict()
        except EvacuationUnavailableError as error:
            _write_unavailable(response, error)


class _Evacuation:
    """Route that starts and ends the evacuation of one data centre."""

    def __init__(self, service: EvacuationService) -> None:
        self._service = service

    async def on_put(
        self,
        request: asgi.Request,
        response: asgi.Response,
        data_centre: str,
    ) -> None:
        """Start an evacuation; a repeated call succeeds."""
        await answer_order(request, response, self._service.start, data_centre)

    async def on_delete(
        self,
        request: asgi.Request,
        response: asgi.Response,
        data_centre: str,
    ) -> None:
        """End an evacuation; a repeated call succeeds."""
        await answer_order(request, response, self._service.end, data_centre)


async def answer_order(
    request: asgi.Request,
    response: asgi.Response,
    execute: Execute,
    data_centre: str,
) -> None:
    """Execute an order and write the response to its caller."""
    try:
        async with watch_caller(request.scope) as is_waiting:
            state = await execute(data_centre, is_waiting)
    except UnknownDataCentreError as error:
        response.status = HTTP_404
        response.media = {'error': str(error)}
    except EvacuationUnavailableError as error:
        _write_unavailable(response, error)
    else:
        response.media = state._asdict()


def add_evacuation_routes(app: Any, service: EvacuationService) -> None:
    """Add the routes of evacuations to the operator's application.

    The application must be wrapped in a `CallerWatchApp`.
    """
    app.add_route(PATH, _State(service))
    # Names may contain slashes.
    app.add_route(f'{PATH}/{{data_centre:path}}', _Evacuation(service))


def _write_unavailable(
    response: asgi.Response,
    error: EvacuationUnavailableError,
) -> None:
    response.status = HTTP_503
    response.set_header('Retry-After', _RETRY_AFTER_S)
    response.media = {'error': str(error)}

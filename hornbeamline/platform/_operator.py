"""HTTP routes of the operator: documents and evacuations."""

from __future__ import annotations

import re
from typing import Any, Final

from falcon import (
    HTTP_400,
    HTTP_503,
    MEDIA_JSON,
    HTTPMethodNotAllowed,
    asgi,
)

from hornbeamline.documents import (
    DocumentUnavailableError,
    InvalidDocumentError,
)
from hornbeamline.documents.service import DocumentService
from hornbeamline.evacuations.operator import Execute, answer_order
from hornbeamline.evacuations.service import EvacuationService
from hornbeamline.telemetry import log_event

_RETRY_AFTER_S: Final = '0.3'
# The path is decoded once, so that a name may contain slashes and line ends.
_ORDER_PATH: Final = re.compile(
    r'/evacuations/(?P<data_centre>.+)/(?P<order>start|end)\Z', re.DOTALL
)


class _Put:
    """Route that stores a configuration document."""

    def __init__(self, documents: DocumentService) -> None:
        self._documents = documents

    async def on_post(
        self,
        request: asgi.Request,
        response: asgi.Response,
    ) -> None:
        """Store a document; answer 400 if any part of it is invalid."""
        content = await request.stream.read()
        try:
            number = await self._documents.put(content)
        except InvalidDocumentError as error:
            log_event('documents.refused', reason=str(error))
            response.status = HTTP_400
            response.media = {'error': str(error)}
        except DocumentUnavailableError as error:
            _unavailable(response, error)
        else:
            response.media = {'version': number}


class _Get:
    """Route that returns the newest configuration document."""

    def __init__(self, documents: DocumentService) -> None:
        self._documents = documents

    async def on_get(
        self,
        _request: asgi.Request,
        response: asgi.Response,
    ) -> None:
        """Return the document byte for byte as it was stored."""
        try:
            document = await self._documents.read()
        except DocumentUnavailableError as error:
            _unavailable(response, error)
            return
        if not document.number:
            _unavailable(response, DocumentUnavailableError('no document'))
            return
        response.content_type = MEDIA_JSON
        response.data = document.content


class _Orders:
    """Handler that starts and ends the evacuation of a data centre."""

    def __init__(self, evacuations: EvacuationService) -> None:
        self._execute_by_order: dict[str, Execute] = {
            'start': evacuations.start,
            'end': evacuations.end,
        }

    async def __call__(
        self,
        req: asgi.Request,
        resp: asgi.Response | None,
        **names: Any,
    ) -> None:
        """Execute an order; answer 404 if the data centre is unknown."""
        assert resp is not None
        if req.method != 'POST':
            raise HTTPMethodNotAllowed(['POST'])
        execute = self._execute_by_order[names['order']]
        await answer_order(req, resp, execute, names['data_centre'])


def operator_app(
    documents: DocumentService, evacuations: EvacuationService
) -> Any:
    """Return the ASGI application with the operator's routes."""
    app = asgi.App()
    app.add_sink(_Orders(evacuations).__call__, _ORDER_PATH)
    app.add_route('/config/put', _Put(documents))
    app.add_route('/config/get', _Get(documents))
    return app


def _unavailable(
    response: asgi.Response,
    error: DocumentUnavailableError,
) -> None:
    response.status = HTTP_503
    response.set_header('Retry-After', _RETRY_AFTER_S)
    response.media = {'error': str(error)}

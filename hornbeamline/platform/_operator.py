"""HTTP routes on which the operator stores and reads documents."""

from __future__ import annotations

from typing import Any, Final

from falcon import HTTP_400, HTTP_503, MEDIA_JSON, asgi

from hornbeamline.documents import (
    DocumentUnavailableError,
    InvalidDocumentError,
)
from hornbeamline.documents.service import DocumentService
from hornbeamline.telemetry import log_event

_RETRY_AFTER_S: Final = '0.3'


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


def operator_app(documents: DocumentService) -> Any:
    """Return the ASGI application with the operator's routes."""
    app = asgi.App()
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

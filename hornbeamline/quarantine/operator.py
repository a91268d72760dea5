"""HTTP routes on which operators see and lift verdicts."""

from __future__ import annotations

from typing import Any, Final

from falcon import asgi

from hornbeamline.quarantine._relay import QuarantineRelay

PATH: Final = '/v1/quarantine'


class _Verdicts:
    """Route that lists the verdicts in force and lifts them."""

    def __init__(self, relay: QuarantineRelay) -> None:
        self._relay = relay

    async def on_get(
        self,
        _request: asgi.Request,
        response: asgi.Response,
    ) -> None:
        """Return the prompt parts in quarantine."""
        response.media = {
            'parts': [
                {
                    'part': verdict.part,
                    'score': verdict.score,
                    'crashes': verdict.crashes,
                    'left_s': self._relay.left_s(verdict),
                }
                for verdict in self._relay.verdicts()
            ],
        }

    async def on_delete(
        self,
        request: asgi.Request,
        response: asgi.Response,
    ) -> None:
        """Remove the evidence on the query's `part` at all hosts.

        Unknown parts are accepted, so that a repeated call succeeds.
        """
        part = request.get_param('part', required=True)
        self._relay.lift(part)
        response.media = {'part': part}


def add_quarantine_routes(app: Any, relay: QuarantineRelay) -> None:
    """Add the routes of the quarantine to the operator's application."""
    app.add_route(PATH, _Verdicts(relay))

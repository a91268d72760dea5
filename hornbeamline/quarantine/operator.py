"""HTTP routes on which operators see and lift verdicts."""

from __future__ import annotations

from typing import Any

from falcon import HTTP_204, asgi

from hornbeamline.quarantine._relay import QuarantineRelay


class _Verdicts:
    """Route that lists the verdicts in force."""

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


class _Verdict:
    """Route that lifts a verdict."""

    def __init__(self, relay: QuarantineRelay) -> None:
        self._relay = relay

    async def on_delete(
        self,
        _request: asgi.Request,
        response: asgi.Response,
        part: str,
    ) -> None:
        """Remove the evidence on a part at all hosts; unknown parts too."""
        self._relay.lift(part)
        response.status = HTTP_204


def add_quarantine_routes(app: Any, relay: QuarantineRelay) -> None:
    """Add the routes of the quarantine to the operator's application."""
    app.add_route('/v1/quarantine', _Verdicts(relay))
    app.add_route('/v1/quarantine/{part}', _Verdict(relay))

"""Decides from the head whether the body of a request is read."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any, Final

from hornbeamline.clients import HeadRefusal
from hornbeamline.gateway._request_terms import account_of
from hornbeamline.gateway._table import RoutingTable
from hornbeamline.gateway._types import CallerRequest, Refusal
from hornbeamline.gateway._wire import Wire
from hornbeamline.gateway.const import REASON_NO_ROUTE
from hornbeamline.gateway.errors import RefusedError

_NOT_FOUND: Final = 404


class GatewayHeadChecks:
    """Refuses requests without a route or without a known credential."""

    def __init__(
        self,
        wire: Wire,
        current_table: Callable[[], RoutingTable | None],
    ) -> None:
        """Initialize with the wire adapter and the table in force."""
        self._wire = wire
        self._current_table = current_table

    def check(self, scope: Mapping[str, Any]) -> HeadRefusal | str:
        """Return a refusal, or the name of the client account."""
        table = self._current_table()
        if table is None:
            # The application waits for the configuration, or refuses.
            return ''
        request = self._wire.read_request(scope, 0)
        try:
            return _account_name(table, request)
        except RefusedError as error:
            return self._to_response(request, error.refusal)

    def refusal(
        self,
        scope: Mapping[str, Any],
        status: int,
        reason: str,
        retry_after_s: float | None,
    ) -> HeadRefusal:
        """Return the response for a refusal that the listener decided."""
        request = self._wire.read_request(scope, 0) if scope else None
        return self._to_response(
            request, Refusal(status, reason, retry_after_s=retry_after_s)
        )

    def _to_response(
        self, request: CallerRequest | None, refusal: Refusal
    ) -> HeadRefusal:
        answer = self._wire.refusal_answer(request, refusal)
        return HeadRefusal(
            answer.status, refusal.reason, answer.headers, answer.body
        )


def _account_name(table: RoutingTable, request: CallerRequest) -> str:
    route = table.find_route(request.host, request.path)
    if route is None:
        raise RefusedError(Refusal(_NOT_FOUND, REASON_NO_ROUTE))
    account = account_of(table, route, request)
    return '' if account is None else account.name

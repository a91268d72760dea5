"""Routing table built from one configuration document."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from hornbeamline.clients import RequestLimits
from hornbeamline.gateway._types import Account, Route, Service


class RoutingTable(NamedTuple):
    """Routes, services and accounts of a document, indexed for lookup."""

    # Number of the document.
    number: int
    # Routes with the longest path prefix come first.
    routes_by_host: Mapping[str, tuple[Route, ...]]
    services_by_name: Mapping[str, Service]
    # None when requests carry no credentials.
    accounts_by_credential: Mapping[str, Account] | None
    limits: RequestLimits = RequestLimits()

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching path prefix."""
        for route in self.routes_by_host.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None


def group_by_host(routes: Iterable[Route]) -> dict[str, tuple[Route, ...]]:
    """Return the routes by host name, longest path prefix first."""
    by_length = sorted(routes, key=_prefix_length, reverse=True)
    grouped: dict[str, list[Route]] = {}
    for route in by_length:
        grouped.setdefault(route.host, []).append(route)
    return {host: tuple(group) for host, group in grouped.items()}


def _prefix_length(route: Route) -> int:
    return len(route.path_prefix)

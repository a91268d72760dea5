"""Request with its routing information."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from hornbeamline.gateway._types import Account, CallerRequest, Route
from hornbeamline.gateway._version_binding import VersionBinding
from hornbeamline.quarantine import RequestGuard


class Job(NamedTuple):
    """A request with its route, client account, rank and deadline."""

    request: CallerRequest
    body: bytes
    route: Route
    service: str
    account: Account | None
    rank: int
    deadline_at: float
    # Handles of the stage results that the target fetches.
    inputs: list[str]
    input_bytes_by_data_centre: dict[str, int]
    # Called when the target has fetched the inputs.
    on_inputs_fetched: Callable[[], None]
    guard: RequestGuard
    binding: VersionBinding

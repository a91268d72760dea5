"""A request with everything that decides how it is served."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from hornbeamline.gateway._types import Account, CallerRequest, Route


class Job(NamedTuple):
    """A request with everything that decides how it is sent."""

    request: CallerRequest
    body: bytes
    route: Route
    service: str
    account: Account | None
    rank: int
    deadline_at: float
    # Handles of the results that the target needs.
    inputs: list[str]
    input_bytes_by_data_centre: dict[str, int]
    # The target has fetched the inputs.
    on_inputs_fetched: Callable[[], None]

"""Releases stage results that are no longer needed."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from typing import Final

from hornbeamline.batching import ResultsKeptError
from hornbeamline.exceptions import GatewayError
from hornbeamline.gateway._gate import TargetGate
from hornbeamline.gateway._http import TargetHttp
from hornbeamline.gateway._targets import TargetDirectory
from hornbeamline.gateway._wire import Wire
from hornbeamline.telemetry import log_event

# A release needs no slot of the target, so a longer call has failed.
_TIMEOUT_S: Final = 1.0


class ResultReleaser:
    """Release the results that one target holds in a single call."""

    def __init__(
        self,
        http: TargetHttp,
        wire: Wire,
        targets: TargetDirectory,
        gate: TargetGate,
    ) -> None:
        """Create a releaser for the listed targets."""
        self._http = http
        self._wire = wire
        self._targets = targets
        self._gate = gate

    async def __call__(self, address: str, handles: Sequence[str]) -> None:
        """Release results; log a failure and raise `ResultsKeptError`.

        Targets that are draining or paused are not called, and rate limited
        ones only if no caller needs the permit.
        """
        target = self._targets.target_at(address)
        permit = None
        if target is not None and self._targets.availability.accepts_work(
            target.id,
        ):
            permit = await self._gate.admit(target, is_spare=True)
        if target is None or permit is None:
            log_event(
                'stages.release_skipped',
                address=address,
                handles=len(handles),
                listed=target is not None,
            )
            raise ResultsKeptError(address)
        path, headers, body = self._wire.release_call(handles)
        try:
            async with asyncio.timeout(_TIMEOUT_S):
                response, _ = await self._http.fetch(
                    address,
                    'POST',
                    path,
                    headers,
                    body,
                    lambda: self._gate.check_before_send(target, permit),
                )
        except (GatewayError, TimeoutError) as error:
            # Results that are not released expire at their target.
            log_event(
                'stages.release_failed',
                address=address,
                handles=len(handles),
                error=repr(error),
            )
            raise ResultsKeptError(address) from error
        head = self._wire.read_answer(response.status, response.headers)
        self._gate.process_response_signals(target, head, permit)

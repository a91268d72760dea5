"""Frees results of stages that are no longer needed."""

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

# Freeing takes no slot, so a longer call means a lost one.
_TIMEOUT_S: Final = 1.0


class ResultReleaser:
    """Frees results in one call for a target."""

    def __init__(
        self,
        http: TargetHttp,
        wire: Wire,
        targets: TargetDirectory,
        gate: TargetGate,
    ) -> None:
        """Take the client, the translation and the targets."""
        self._http = http
        self._wire = wire
        self._targets = targets
        self._gate = gate

    async def __call__(self, address: str, handles: Sequence[str]) -> None:
        """Free results; raises `ResultsKeptError`, after a log line.

        A target that leaves or rests gets no call, and one that names a
        limit only if no caller needs the permit.
        """
        target = self._targets.target_at(address)
        permit = None
        if target is not None and self._targets.standings.accepts_work(
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
                )
        except (GatewayError, TimeoutError) as error:
            # The results expire at their target by themselves.
            log_event(
                'stages.release_failed',
                address=address,
                handles=len(handles),
                error=repr(error),
            )
            raise ResultsKeptError(address) from error
        head = self._wire.read_answer(response.status, response.headers)
        self._gate.note_answer(target, head, permit)

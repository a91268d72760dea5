"""Ledger client of an entry process."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import uuid
from typing import Any, Final

from hornbeamline.control_link import LeaderClient, LeaderUnavailableError
from hornbeamline.core import TaskSet
from hornbeamline.exceptions import LedgerError
from hornbeamline.helpers.clock import MS_PER_S, Clock
from hornbeamline.inventory import EntrySettings
from hornbeamline.ledger._messages import (
    CommandRequest,
    LookupReply,
    LookupRequest,
    RenewReply,
    RenewSession,
)
from hornbeamline.ledger._operations import (
    KIND_CLAIM,
    KIND_CLOSE,
    KIND_FINISH,
    KIND_MARK,
    KIND_OPEN,
    STATUS_EXISTING,
    STATUS_FENCED,
    STATUS_GRANTED,
    STATUS_OK,
    STATUS_STALE,
    ClaimKey,
    CloseSession,
    FinishClaim,
    MarkSending,
    OpenSession,
    OperationResult,
    make_operation,
)
from hornbeamline.ledger._types import (
    Claim,
    ClaimDecision,
    ClaimExisting,
    ClaimGranted,
    ClaimOutcome,
    ClaimRefused,
    ClaimState,
    ClaimView,
    SendPermit,
)
from hornbeamline.ledger.const import (
    MAX_LONG_POLL_S,
    REASON_NO_SESSION,
    REASON_UNAVAILABLE,
    SEND_MARGIN_S,
)
from hornbeamline.ledger.errors import (
    ClaimFencedError,
    LedgerUnavailableError,
)
from hornbeamline.peering import Peering
from hornbeamline.telemetry import log_event

_CLOSE_TIMEOUT_S: Final = 2.0
_RENEW_TIMEOUT_S: Final = 2.0
_FINISH_TIMEOUT_S: Final = 2.0
# Recording an outcome is retried in the background for this long, even after
# the caller of `finish` has stopped waiting.
_FINISH_RETRY_S: Final = 60.0
_RETRY_DELAY_S: Final = 0.1


class LedgerClient:
    """Claims request keys for one entry process.

    A request with a key goes through these steps: call `claim`; on
    `ClaimGranted`, run the idempotent stages; call `mark_sending` before the
    first non-idempotent stage is dispatched; check `may_send` immediately
    before the first byte is written; call `finish` with the outcome. On
    `ClaimExisting`, use its outcome or call `wait_outcome`. All methods
    retry lost calls.
    """

    def __init__(
        self,
        settings: EntrySettings,
        peering: Peering,
        clock: Clock,
    ) -> None:
        """Create a client without a session."""
        self._settings = settings
        self._clock = clock
        self._link = LeaderClient(peering, settings.controls_by_name)
        self._tasks = TaskSet()
        self._numbers = itertools.count(1)
        self._finishing: set[asyncio.Task[str | None]] = set()
        self._epoch: int | None = None
        self._session_opened = asyncio.Event()
        self._session_lost = asyncio.Event()
        self._session_valid_until_s = clock.monotonic()

    async def start(self) -> None:
        """Open and renew a session in the background."""
        self._tasks.keep_running(self._maintain_session, 'ledger session')

    async def stop(self) -> None:
        """Close the session, which ends its claims without an outcome."""
        if self._finishing:
            await asyncio.wait(self._finishing, timeout=_FINISH_TIMEOUT_S)
        await self._tasks.cancel_all()
        epoch = self._epoch
        if epoch is None:
            return
        self._drop_session(epoch)
        try:
            await self._execute(
                KIND_CLOSE,
                CloseSession(epoch),
                _CLOSE_TIMEOUT_S,
            )
        except LedgerUnavailableError:
            # The leader expires the session after its timeout.
            log_event('ledger.close_failed', epoch=epoch)

    def holds_session(self) -> bool:
        """Return whether the session was renewed within its timeout."""
        is_valid = self._clock.monotonic() < self._session_valid_until_s
        return self._epoch is not None and is_valid

    async def claim(
        self,
        account: str,
        key: str,
        digest: str,
        deadline_s: float,
    ) -> ClaimDecision:
        """Claim a request key for one attempt.

        `digest` is the digest of the request body and `deadline_s` the
        remaining time of the request in seconds. A claim that is not marked
        SENDING within about a second after this time ends as not run.
        Raises no `LedgerError`: when the ledger does not answer, the claim
        is refused with `ledger_unavailable` or `no_session`, and a grant
        whose reply was lost is released.
        """
        until_s = self._clock.monotonic() + deadline_s
        number = next(self._numbers)
        while True:
            epoch = await self._wait_session(until_s)
            if epoch is None:
                return ClaimRefused(REASON_NO_SESSION)
            remaining_s = until_s - self._clock.monotonic()
            body = ClaimKey(
                epoch,
                number,
                account,
                key,
                digest,
                max(0, int(remaining_s * MS_PER_S)),
            )
            try:
                result = await self._execute(KIND_CLAIM, body, remaining_s)
            except (LedgerUnavailableError, asyncio.CancelledError) as error:
                self._release(Claim(account, key, 0, epoch, number))
                if isinstance(error, asyncio.CancelledError):
                    raise
                return ClaimRefused(REASON_UNAVAILABLE)
            if result.status == STATUS_STALE:
                number = next(self._numbers)
            elif result.status == STATUS_FENCED:
                self._drop_session(epoch)
            else:
                return _to_decision(body, result)

    async def mark_sending(self, claim: Claim, send_by_s: float) -> SendPermit:
        """Record that the request of a claim is about to be sent.

        `send_by_s` is the time from now, in seconds, within which the
        first byte is written. Returns a permit for `may_send`. Raises
        `ClaimFencedError` (report the request as not run) and
        `LedgerUnavailableError` (do not send; call `finish` with
        `not_run`).
        """
        requested_at_s = self._clock.monotonic()
        body = MarkSending(
            claim.epoch,
            claim.number,
            claim.account,
            claim.request_key,
            int(send_by_s * MS_PER_S),
        )
        result = await self._execute(KIND_MARK, body, send_by_s)
        if result.status != STATUS_OK:
            raise ClaimFencedError(
                f'cannot mark a claim of {claim.account} as sending: '
                f'{result.status}',
            )
        return SendPermit(claim, requested_at_s + send_by_s - SEND_MARGIN_S)

    def may_send(self, permit: SendPermit) -> bool:
        """Return whether the first byte may be written now.

        If not, nothing was sent: call `finish` with `not_run`.
        """
        is_before_deadline = self._clock.monotonic() < permit.send_before_s
        is_same_session = permit.claim.epoch == self._epoch
        return is_before_deadline and is_same_session and self.holds_session()

    async def finish(self, claim: Claim, outcome: ClaimOutcome) -> None:
        """Record the outcome of a claim, built with `make_outcome`.

        An `unknown` outcome may be replaced later by `answered` or
        `not_run` once either is proven. Raises `ClaimFencedError` when the
        claim has a different final outcome, and `LedgerUnavailableError`
        after 2 s; recording the outcome is then still retried in the
        background for a minute.
        """
        task = self._spawn_finish(claim, outcome)
        done, _ = await asyncio.wait({task}, timeout=_FINISH_TIMEOUT_S)
        if not done:
            raise LedgerUnavailableError(
                'ledger did not confirm the outcome in time; still retrying',
            )
        status = task.result()
        if status is None:
            raise LedgerUnavailableError('ledger did not record the outcome')
        if status != STATUS_OK:
            raise ClaimFencedError(
                f'ledger refused the outcome of a claim of {claim.account}: '
                f'{status}',
            )

    async def lookup(
        self,
        account: str,
        key: str,
        timeout_s: float = 2,
    ) -> ClaimView | None:
        """Return a claim, or None when the key is not known.

        Reflects every operation that was completed before the call. Raises
        `LedgerUnavailableError`.
        """
        return await self._lookup(LookupRequest(account, key), timeout_s)

    async def wait_outcome(
        self,
        account: str,
        key: str,
        timeout_s: float,
    ) -> ClaimView | None:
        """Return a claim once it has an outcome.

        After `timeout_s` seconds, returns the claim in its current state,
        possibly without an outcome. Raises `LedgerUnavailableError` when the
        ledger has not answered at all.
        """
        until_s = self._clock.monotonic() + timeout_s
        view: ClaimView | None = None
        while True:
            remaining_s = until_s - self._clock.monotonic()
            wait_s = max(0, min(remaining_s, MAX_LONG_POLL_S))
            request = LookupRequest(account, key, wait_s)
            try:
                view = await self._lookup(request, max(remaining_s, 0.1))
            except LedgerUnavailableError:
                if view is None:
                    raise
                return view
            is_over = self._clock.monotonic() >= until_s
            if view is None or view.outcome is not None or is_over:
                return view

    async def _lookup(
        self,
        request: LookupRequest,
        timeout_s: float,
    ) -> ClaimView | None:
        try:
            reply = await self._link.call(request, LookupReply, timeout_s)
        except LeaderUnavailableError as error:
            raise LedgerUnavailableError(str(error)) from error
        return reply.claim

    async def _execute(
        self,
        kind: str,
        body: tuple[Any, ...],
        timeout_s: float,
    ) -> OperationResult:
        request = CommandRequest(*make_operation(kind, body))
        try:
            return await self._link.call(
                request,
                OperationResult,
                max(0, timeout_s),
            )
        except LeaderUnavailableError as error:
            raise LedgerUnavailableError(str(error)) from error

    async def _send_finish(
        self,
        claim: Claim,
        outcome: ClaimOutcome,
    ) -> str | None:
        body = FinishClaim(
            claim.epoch,
            claim.number,
            claim.account,
            claim.request_key,
            outcome,
        )
        try:
            result = await self._execute(KIND_FINISH, body, _FINISH_RETRY_S)
        except LedgerUnavailableError as error:
            log_event('ledger.finish_lost', error=str(error))
            return None
        return result.status

    def _release(self, claim: Claim) -> None:
        outcome = ClaimOutcome(ClaimState.not_run, REASON_UNAVAILABLE)
        self._spawn_finish(claim, outcome)

    def _spawn_finish(
        self,
        claim: Claim,
        outcome: ClaimOutcome,
    ) -> asyncio.Task[str | None]:
        task = self._tasks.spawn(
            self._send_finish(claim, outcome),
            'ledger finish',
        )
        self._finishing.add(task)
        task.add_done_callback(self._finishing.discard)
        return task

    async def _wait_session(self, until_s: float) -> int | None:
        remaining_s = until_s - self._clock.monotonic()
        if self._epoch is None and remaining_s > 0:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(remaining_s):
                    await self._session_opened.wait()
        return self._epoch

    def _drop_session(self, epoch: int) -> None:
        if self._epoch == epoch:
            log_event('ledger.session_lost', epoch=epoch)
            self._epoch = None
            self._session_opened.clear()
            self._session_lost.set()

    async def _maintain_session(self) -> None:
        # The token is reused until an epoch is received, so that a lost reply
        # does not leave a second session behind.
        token = uuid.uuid4().hex
        while True:
            try:
                if self._epoch is None:
                    await self._open_session(token)
                    token = uuid.uuid4().hex
                await self._renew_session(self._epoch)
            except (LedgerError, LeaderUnavailableError) as error:
                log_event('ledger.renewal_failed', error=str(error))
                await asyncio.sleep(_RETRY_DELAY_S)
                continue
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(self._settings.renew_interval_s):
                    await self._session_lost.wait()

    async def _open_session(self, token: str) -> None:
        host = self._settings.host.name
        result = await self._execute(
            KIND_OPEN,
            OpenSession(host, token),
            _RENEW_TIMEOUT_S,
        )
        if result.status != STATUS_OK:
            raise LedgerError(
                f'ledger refused to open a session: {result.status}',
            )
        log_event('ledger.session_opened', epoch=result.epoch)
        self._epoch = result.epoch
        self._session_lost.clear()
        self._session_opened.set()

    async def _renew_session(self, epoch: int | None) -> None:
        if epoch is None:
            return
        sent_at_s = self._clock.monotonic()
        reply = await self._link.call(
            RenewSession(epoch),
            RenewReply,
            _RENEW_TIMEOUT_S,
        )
        if reply.is_live:
            self._session_valid_until_s = sent_at_s + reply.timeout_s
        else:
            self._drop_session(epoch)


def _to_decision(body: ClaimKey, result: OperationResult) -> ClaimDecision:
    if result.status == STATUS_GRANTED:
        return ClaimGranted(
            Claim(
                body.account,
                body.request_key,
                result.attempt,
                body.epoch,
                body.number,
            ),
        )
    if result.status == STATUS_EXISTING and result.claim is not None:
        return ClaimExisting(result.claim)
    return ClaimRefused(result.status)

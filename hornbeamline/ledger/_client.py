"""Entry host's part of the ledger."""

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
    operation,
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
    MAX_HELD_LOOKUP_S,
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
# A finish goes on in the background this long after its caller left.
_FINISH_KEPT_S: Final = 60.0
_RETRY_PAUSE_S: Final = 0.1


class LedgerClient:
    """Claims request keys for one entry process.

    Order of use for a request with a key: `claim`; on `ClaimGranted` run
    the repeatable stages; `mark_sending` before the first non-repeatable
    stage is dispatched; check `may_send` right before the first byte is
    written; `finish` with the outcome. On `ClaimExisting` use its outcome
    or `wait_outcome`. Every method repeats lost calls by itself.
    """

    def __init__(
        self,
        settings: EntrySettings,
        peering: Peering,
        clock: Clock,
    ) -> None:
        """Take settings, network and clock."""
        self._settings = settings
        self._clock = clock
        self._link = LeaderClient(peering, settings.controls_by_name)
        self._tasks = TaskSet()
        self._numbers = itertools.count(1)
        self._finishing: set[asyncio.Task[str | None]] = set()
        self._epoch: int | None = None
        self._session_opened = asyncio.Event()
        self._session_lost = asyncio.Event()
        self._held_until_s = clock.monotonic()

    async def start(self) -> None:
        """Open a session in the background and keep it renewed."""
        self._tasks.spawn(self._keep_session(), 'ledger session')

    async def stop(self) -> None:
        """Close the session; claims without an outcome are ended."""
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
            # The leader expires the session after its silence limit.
            log_event('ledger.close_failed', epoch=epoch)

    def holds_session(self) -> bool:
        """Return whether the session was renewed within its limit."""
        is_held = self._clock.monotonic() < self._held_until_s
        return self._epoch is not None and is_held

    async def claim(
        self,
        account: str,
        key: str,
        digest: str,
        deadline_s: float,
    ) -> ClaimDecision:
        """Claim a request key for one attempt.

        `digest` is the digest of the request body, `deadline_s` the time
        in seconds that the request has left; a claim that is not marked
        SENDING about a second after it ends as not run.
        Does not raise: without an answer of the ledger the claim is
        refused with `ledger_unavailable` or `no_session`, and a grant that
        got lost is released.
        """
        until_s = self._clock.monotonic() + deadline_s
        number = next(self._numbers)
        while True:
            epoch = await self._wait_session(until_s)
            if epoch is None:
                return ClaimRefused(REASON_NO_SESSION)
            left_s = until_s - self._clock.monotonic()
            body = ClaimKey(
                epoch,
                number,
                account,
                key,
                digest,
                max(0, int(left_s * MS_PER_S)),
            )
            try:
                answer = await self._execute(KIND_CLAIM, body, left_s)
            except (LedgerUnavailableError, asyncio.CancelledError) as error:
                self._release(Claim(account, key, 0, epoch, number))
                if isinstance(error, asyncio.CancelledError):
                    raise
                return ClaimRefused(REASON_UNAVAILABLE)
            if answer.status == STATUS_STALE:
                number = next(self._numbers)
            elif answer.status == STATUS_FENCED:
                self._drop_session(epoch)
            else:
                return _decision(body, answer)

    async def mark_sending(self, claim: Claim, send_by_s: float) -> SendPermit:
        """Record that the claim's request is about to be sent.

        `send_by_s` is the time from now, in seconds, within which the
        first byte is written. Returns a permit for `may_send`. Raises
        `ClaimFencedError` (the claim is not run; report so) and
        `LedgerUnavailableError` (do not send; finish with `not_run`).
        """
        asked_at_s = self._clock.monotonic()
        body = MarkSending(
            claim.epoch,
            claim.number,
            claim.account,
            claim.request_key,
            int(send_by_s * MS_PER_S),
        )
        answer = await self._execute(KIND_MARK, body, send_by_s)
        if answer.status != STATUS_OK:
            raise ClaimFencedError(
                f'claim of {claim.account} is {answer.status} before sending',
            )
        return SendPermit(claim, asked_at_s + send_by_s - SEND_MARGIN_S)

    def may_send(self, permit: SendPermit) -> bool:
        """Return whether the first byte may be written at this moment.

        When False, nothing was sent: finish the claim with `not_run`.
        """
        is_early = self._clock.monotonic() < permit.send_before_s
        is_own = permit.claim.epoch == self._epoch
        return is_early and is_own and self.holds_session()

    async def finish(self, claim: Claim, outcome: ClaimOutcome) -> None:
        """Record the outcome of a claim; use `make_outcome` to build it.

        An `unknown` outcome may be replaced later by `answered` or
        `not_run` with proof. Raises `ClaimFencedError` when the claim has
        another final outcome, and `LedgerUnavailableError` after 2 s; the
        outcome is then still sent in the background for a minute.
        """
        sending = self._spawn_finish(claim, outcome)
        done, _ = await asyncio.wait({sending}, timeout=_FINISH_TIMEOUT_S)
        if not done:
            raise LedgerUnavailableError('the outcome is not recorded yet')
        status = sending.result()
        if status is None:
            raise LedgerUnavailableError('the outcome could not be recorded')
        if status != STATUS_OK:
            raise ClaimFencedError(
                f'outcome of a claim of {claim.account} refused: {status}',
            )

    async def lookup(
        self,
        account: str,
        key: str,
        timeout_s: float = 2,
    ) -> ClaimView | None:
        """Return a claim, or None when the key is not known.

        Sees every operation that ended before the call. Raises
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

        After `timeout_s` seconds the claim is returned as it is, possibly
        without an outcome. Raises `LedgerUnavailableError` when the ledger
        did not answer at all.
        """
        until_s = self._clock.monotonic() + timeout_s
        view: ClaimView | None = None
        while True:
            left_s = until_s - self._clock.monotonic()
            wait_s = max(0, min(left_s, MAX_HELD_LOOKUP_S))
            request = LookupRequest(account, key, wait_s)
            try:
                view = await self._lookup(request, max(left_s, 0.1))
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
        request = CommandRequest(*operation(kind, body))
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
            answer = await self._execute(KIND_FINISH, body, _FINISH_KEPT_S)
        except LedgerUnavailableError as error:
            log_event('ledger.finish_lost', error=str(error))
            return None
        return answer.status

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
        left_s = until_s - self._clock.monotonic()
        if self._epoch is None and left_s > 0:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left_s):
                    await self._session_opened.wait()
        return self._epoch

    def _drop_session(self, epoch: int) -> None:
        if self._epoch == epoch:
            log_event('ledger.session_lost', epoch=epoch)
            self._epoch = None
            self._session_opened.clear()
            self._session_lost.set()

    async def _keep_session(self) -> None:
        # The token stays the same until an epoch came back, so that a lost
        # answer does not leave a second session behind.
        token = uuid.uuid4().hex
        while True:
            try:
                if self._epoch is None:
                    await self._open_session(token)
                    token = uuid.uuid4().hex
                await self._renew_session(self._epoch)
            except (LedgerError, LeaderUnavailableError) as error:
                log_event('ledger.renewal_failed', error=str(error))
                await asyncio.sleep(_RETRY_PAUSE_S)
                continue
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(self._settings.renew_interval_s):
                    await self._session_lost.wait()

    async def _open_session(self, token: str) -> None:
        host = self._settings.host.name
        answer = await self._execute(
            KIND_OPEN,
            OpenSession(host, token),
            _RENEW_TIMEOUT_S,
        )
        if answer.status != STATUS_OK:
            raise LedgerError(f'session refused: {answer.status}')
        log_event('ledger.session_opened', epoch=answer.epoch)
        self._epoch = answer.epoch
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
            self._held_until_s = sent_at_s + reply.timeout_s
        else:
            self._drop_session(epoch)


def _decision(body: ClaimKey, answer: OperationResult) -> ClaimDecision:
    if answer.status == STATUS_GRANTED:
        return ClaimGranted(
            Claim(
                body.account,
                body.request_key,
                answer.attempt,
                body.epoch,
                body.number,
            ),
        )
    if answer.status == STATUS_EXISTING and answer.claim is not None:
        return ClaimExisting(answer.claim)
    return ClaimRefused(answer.status)

"""Entry host's copy of the configuration and its lease."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any, Final

from hornbeamline.configuration._messages import (
    NO_GRANT,
    RenewReply,
    RenewRequest,
)
from hornbeamline.configuration._metrics import RENEWALS, REVISION
from hornbeamline.configuration.const import FULL_CHECK_TABLES
from hornbeamline.configuration.errors import (
    NoConfigurationError,
    RefusedRevisionError,
)
from hornbeamline.control_link import LeaderClient, LeaderUnavailableError
from hornbeamline.core import TaskSet
from hornbeamline.helpers.clock import Clock
from hornbeamline.helpers.codec import CodecError, decode
from hornbeamline.inventory import (
    Document,
    EntrySettings,
    Fleet,
    InvalidDocumentError,
    apply_operations,
    digest_after,
    document_digest,
    fleet_after,
    validate,
)
from hornbeamline.peering import Peering
from hornbeamline.telemetry import log_event

ROLE_ENTRY: Final = 'entry'
_RENEW_TIMEOUT_S: Final = 2.0
_REFUSED_RETRY_DELAY_S: Final = 0.2


class ConfigurationClient:
    """Pulls the configuration from the leader and holds a lease on it.

    The lease starts when the renewal request is sent, on the local
    monotonic clock, and covers only the revision that the leader names in
    its answer. A revision older than the active one is never applied.
    """

    def __init__(
        self,
        settings: EntrySettings,
        peering: Peering,
        clock: Clock,
    ) -> None:
        """Prepare the client; `start` begins the renewals."""
        self.revision = 0
        self._settings = settings
        self._clock = clock
        self._leader = LeaderClient(peering, settings.controls_by_name)
        self._tasks = TaskSet()
        self._document: Document = {}
        self._digest = ''
        self._fleet: Fleet | None = None
        self._needs_whole_document = False
        self._last_grant = NO_GRANT
        self._lease_expires_at_s = clock.monotonic()
        self._observers: list[Callable[[Fleet, int], None]] = []

    @property
    def fleet(self) -> Fleet:
        """Return the active fleet.

        Raises `NoConfigurationError` before the first revision.
        """
        if self._fleet is None:
            raise NoConfigurationError('no configuration received yet')
        return self._fleet

    def current_fleet(self) -> Fleet | None:
        """Return the active fleet, or None before the first revision."""
        return self._fleet

    def holds_lease(self) -> bool:
        """Return whether the lease allows new work to start."""
        is_valid = self._clock.monotonic() < self._lease_expires_at_s
        return self._fleet is not None and is_valid

    def on_revision(self, observer: Callable[[Fleet, int], None]) -> None:
        """Register a callback for fleet and revision of each activation.

        The callback runs at once if a revision is active already.
        """
        self._observers.append(observer)
        if self._fleet is not None:
            observer(self._fleet, self.revision)

    async def start(self) -> None:
        """Start renewing the lease in the background."""
        self._tasks.keep_running(
            self._renew_periodically, 'configuration renewal'
        )

    async def stop(self) -> None:
        """Stop the renewals and give up the lease."""
        await self._tasks.cancel_all()
        self._lease_expires_at_s = self._clock.monotonic()

    async def _renew_periodically(self) -> None:
        while True:
            sent_at_s = self._clock.monotonic()
            try:
                await self._renew(sent_at_s)
            except LeaderUnavailableError as error:
                RENEWALS.labels('unavailable').inc()
                log_event('configuration.renewal_failed', error=str(error))
            except Exception as error:
                # Covers errors of observers too: the lease is not extended,
                # so no new work starts once it expires, and the next renewal
                # tries the revision again.
                RENEWALS.labels('refused').inc()
                log_event(
                    'configuration.revision_refused',
                    revision=self.revision,
                    error=str(error),
                )
                await asyncio.sleep(_REFUSED_RETRY_DELAY_S)
                continue
            elapsed_s = self._clock.monotonic() - sent_at_s
            await asyncio.sleep(
                max(0, self._settings.renew_interval_s - elapsed_s),
            )

    async def _renew(self, sent_at_s: float) -> None:
        request = RenewRequest(
            self._settings.host.name,
            ROLE_ENTRY,
            self.revision,
            self._digest,
            self._needs_whole_document,
            last_grant=self._last_grant,
        )
        reply = await self._leader.call(request, RenewReply, _RENEW_TIMEOUT_S)
        if reply.revision == 0:
            return
        self._apply_reply(reply)
        self._last_grant = reply.grant
        lease_s = min(reply.lease_s, self._settings.lease_s)
        self._lease_expires_at_s = max(
            self._lease_expires_at_s, sent_at_s + lease_s
        )
        RENEWALS.labels('granted').inc()

    def _apply_reply(self, reply: RenewReply) -> None:
        if reply.revision < self.revision:
            raise RefusedRevisionError(
                f'revision {reply.revision} is older than the active one',
            )
        if reply.revision == self.revision:
            if reply.digest != self._digest:
                raise RefusedRevisionError(
                    f'digest of revision {reply.revision} differs from the '
                    'digest of the local copy',
                )
            return
        document = self._resulting_document(reply)
        if self._resulting_digest(reply, document) != reply.digest:
            self._needs_whole_document = True
            raise RefusedRevisionError(
                f'document of revision {reply.revision} does not have the '
                'digest that the leader sent',
            )
        if reply.document or self._fleet is None:
            fleet = validate(document)
        else:
            # The leader validated the document that has this digest, so it
            # is not validated again.
            fleet = fleet_after(self._fleet, document, reply.operations)
        self._activate(reply, document, fleet)

    def _resulting_digest(self, reply: RenewReply, document: Document) -> str:
        table_count = sum(len(section) for section in document.values())
        must_recompute = bool(reply.document) or not self._digest
        if must_recompute or table_count <= FULL_CHECK_TABLES:
            return document_digest(document)
        return digest_after(self._digest, self._document, reply.operations)

    def _resulting_document(self, reply: RenewReply) -> Document:
        if not reply.document:
            try:
                return apply_operations(self._document, reply.operations)
            except InvalidDocumentError:
                # The operations do not apply to the local copy, so the next
                # renewal requests the whole document.
                self._needs_whole_document = True
                raise
        document_type: type[Any] = dict[str, dict[str, Any]]
        try:
            document: Document = decode(reply.document, document_type)
        except CodecError as error:
            raise RefusedRevisionError(str(error)) from error
        return document

    def _activate(
        self,
        reply: RenewReply,
        document: Document,
        fleet: Fleet,
    ) -> None:
        # Observers run first: if one fails, it still uses the previous
        # revision, and no lease may be held on the new one.
        for observer in self._observers:
            observer(fleet, reply.revision)
        self._document = document
        self._digest = reply.digest
        self._fleet = fleet
        self.revision = reply.revision
        self._needs_whole_document = False
        REVISION.set(reply.revision)
        log_event('configuration.in_force', revision=reply.revision)

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
_REFUSED_PAUSE_S: Final = 0.2


class ConfigurationClient:
    """Pulls the configuration and holds a lease on it.

    The lease counts from the moment a renewal was sent, by the own clock,
    and only for the revision that the leader named in its answer. An older
    revision than the one in force is never applied.
    """

    def __init__(
        self,
        settings: EntrySettings,
        peering: Peering,
        clock: Clock,
    ) -> None:
        """Take settings, network and clock."""
        self.revision = 0
        self._settings = settings
        self._clock = clock
        self._link = LeaderClient(peering, settings.controls_by_name)
        self._tasks = TaskSet()
        self._document: Document = {}
        self._digest = ''
        self._fleet: Fleet | None = None
        self._wants_whole = False
        self._last_grant = NO_GRANT
        self._lease_until_s = clock.monotonic()
        self._observers: list[Callable[[Fleet, int], None]] = []

    @property
    def fleet(self) -> Fleet:
        """Return the fleet in force; raises `NoConfigurationError`."""
        if self._fleet is None:
            raise NoConfigurationError('no configuration received yet')
        return self._fleet

    def current_fleet(self) -> Fleet | None:
        """Return the fleet in force, or None before the first one."""
        return self._fleet

    def holds_lease(self) -> bool:
        """Return whether new work may start under this configuration."""
        is_valid = self._clock.monotonic() < self._lease_until_s
        return self._fleet is not None and is_valid

    def on_revision(self, observer: Callable[[Fleet, int], None]) -> None:
        """Call back with fleet and revision, also for the present one."""
        self._observers.append(observer)
        if self._fleet is not None:
            observer(self._fleet, self.revision)

    async def start(self) -> None:
        """Renew in the background."""
        self._tasks.spawn(self._keep_renewed(), 'configuration renewal')

    async def stop(self) -> None:
        """Give up the lease and stop renewing."""
        await self._tasks.cancel_all()
        self._lease_until_s = self._clock.monotonic()

    async def _keep_renewed(self) -> None:
        while True:
            sent_at_s = self._clock.monotonic()
            try:
                await self._renew(sent_at_s)
            except LeaderUnavailableError as error:
                RENEWALS.labels('unavailable').inc()
                log_event('configuration.renewal_failed', error=str(error))
            except Exception as error:
                # Includes a failing observer: without a lease no new work
                # starts, and the next renewal tries again.
                RENEWALS.labels('refused').inc()
                log_event(
                    'configuration.revision_refused',
                    revision=self.revision,
                    error=str(error),
                )
                await asyncio.sleep(_REFUSED_PAUSE_S)
                continue
            passed_s = self._clock.monotonic() - sent_at_s
            await asyncio.sleep(
                max(0, self._settings.renew_interval_s - passed_s),
            )

    async def _renew(self, sent_at_s: float) -> None:
        request = RenewRequest(
            self._settings.host.name,
            ROLE_ENTRY,
            self.revision,
            self._digest,
            self._wants_whole,
            last_grant=self._last_grant,
        )
        reply = await self._link.call(request, RenewReply, _RENEW_TIMEOUT_S)
        if reply.revision == 0:
            return
        self._take(reply)
        self._last_grant = reply.grant
        lease_s = min(reply.lease_s, self._settings.lease_s)
        self._lease_until_s = max(self._lease_until_s, sent_at_s + lease_s)
        RENEWALS.labels('granted').inc()

    def _take(self, reply: RenewReply) -> None:
        if reply.revision < self.revision:
            raise RefusedRevisionError(
                f'revision {reply.revision} is older than the own one',
            )
        if reply.revision == self.revision:
            if reply.digest != self._digest:
                raise RefusedRevisionError(
                    f'revision {reply.revision} has another digest',
                )
            return
        document = self._document_of(reply)
        if self._digest_of(reply, document) != reply.digest:
            self._wants_whole = True
            raise RefusedRevisionError(
                f'digest of revision {reply.revision} does not match',
            )
        if reply.document or self._fleet is None:
            fleet = validate(document)
        else:
            # The leader has validated the document with this digest.
            fleet = fleet_after(self._fleet, document, reply.operations)
        self._put_in_force(reply, document, fleet)

    def _digest_of(self, reply: RenewReply, document: Document) -> str:
        tables = sum(len(section) for section in document.values())
        is_first = bool(reply.document) or not self._digest
        if is_first or tables <= FULL_CHECK_TABLES:
            return document_digest(document)
        return digest_after(self._digest, self._document, reply.operations)

    def _document_of(self, reply: RenewReply) -> Document:
        if not reply.document:
            try:
                return apply_operations(self._document, reply.operations)
            except InvalidDocumentError:
                # Operations that do not fit the own copy need a whole one.
                self._wants_whole = True
                raise
        kind: type[Any] = dict[str, dict[str, Any]]
        try:
            document: Document = decode(reply.document, kind)
        except CodecError as error:
            raise RefusedRevisionError(str(error)) from error
        return document

    def _put_in_force(
        self,
        reply: RenewReply,
        document: Document,
        fleet: Fleet,
    ) -> None:
        # First, so that a revision is not leased while an observer that
        # failed still works with the one before.
        for observer in self._observers:
            observer(fleet, reply.revision)
        self._document = document
        self._digest = reply.digest
        self._fleet = fleet
        self.revision = reply.revision
        self._wants_whole = False
        REVISION.set(reply.revision)
        log_event('configuration.in_force', revision=reply.revision)

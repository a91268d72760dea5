"""Stores and reads documents through the leader of the control hosts."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final, TypeVar

from hornbeamline.control_link import LeaderServer
from hornbeamline.documents._machine import (
    DocumentMachine,
    StoredDocument,
    compress,
)
from hornbeamline.documents._messages import (
    PutDocument,
    PutReply,
    ReadDocument,
    ReadReply,
)
from hornbeamline.documents.errors import DocumentUnavailableError
from hornbeamline.helpers.codec import decode, encode
from hornbeamline.replog import ReplicatedLog
from hornbeamline.telemetry import log_event

MACHINE_NAME: Final = 'documents'
_STATUS_OK: Final = 'ok'

_ReplyT = TypeVar('_ReplyT')
# Validates a document and returns its number; raises `InvalidDocumentError`.
DocumentValidator = Callable[[bytes], int]


class DocumentService:
    """Stores and reads the document; runs on every control process."""

    def __init__(
        self,
        log: ReplicatedLog,
        server: LeaderServer,
        machine: DocumentMachine,
        validate: DocumentValidator,
    ) -> None:
        """Register the state machine and the handlers of the leader.

        `validate` checks a document and returns its number. Must run
        before the log starts.
        """
        self._log = log
        self._server = server
        self._machine = machine
        self._validate = validate
        log.register_state_machine(MACHINE_NAME, machine)
        machine.is_confirmed = log.is_state_confirmed
        log.on_state_confirmed(machine.announce)
        server.register_handler(PutDocument, self._on_put)
        server.register_handler(ReadDocument, self._on_read)

    async def put(self, content: bytes) -> int:
        """Store a document durably; return the highest stored number.

        A document is not sent to the leader unless its number is above the
        number stored on this host. Raises `InvalidDocumentError` (nothing
        has changed) and `DocumentUnavailableError` (the document may still
        be stored).
        """
        number = self._validate(content)
        held = self._machine.current.number
        if number <= held:
            log_event('documents.superseded', number=number, held=held)
            return held
        reply = await self._call_leader(
            PutDocument(compress(number, content)),
            PutReply,
        )
        log_event('documents.stored', number=number, highest=reply.number)
        return reply.number

    async def read(self) -> StoredDocument:
        """Return the newest stored document.

        Raises `DocumentUnavailableError`.
        """
        reply = await self._call_leader(ReadDocument(), ReadReply)
        return reply.document

    async def _call_leader(
        self,
        request: PutDocument | ReadDocument,
        reply_type: type[_ReplyT],
    ) -> _ReplyT:
        reply = await self._server.submit(request)
        if reply.status != _STATUS_OK:
            log_event(
                'documents.leader_unavailable',
                request=type(request).__name__,
                status=reply.status,
                leader=reply.leader,
                term=self._log.term,
            )
            raise DocumentUnavailableError(
                f'the leader did not answer ({reply.status})',
            )
        return decode(reply.body, reply_type)

    async def _on_put(self, request: PutDocument) -> PutReply:
        command = encode(request.document)
        return decode(await self._log.propose(MACHINE_NAME, command), PutReply)

    async def _on_read(self, request: ReadDocument) -> ReadReply:
        await self._log.read_barrier()
        return ReadReply(self._machine.current)

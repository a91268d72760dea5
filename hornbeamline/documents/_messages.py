"""Messages between control processes about configuration documents."""

from __future__ import annotations

from typing import NamedTuple

from hornbeamline.documents._machine import StoredDocument
from hornbeamline.peering import message


@message('documents.put')
class PutDocument(NamedTuple):
    """Asks the leader to store a document."""

    document: StoredDocument
    forwarded: bool = False


@message('documents.put_reply')
class PutReply(NamedTuple):
    """Returns the highest stored number."""

    number: int


@message('documents.read')
class ReadDocument(NamedTuple):
    """Asks the leader for the newest document."""

    forwarded: bool = False


@message('documents.read_reply')
class ReadReply(NamedTuple):
    """Returns the newest document at the time of the read."""

    document: StoredDocument

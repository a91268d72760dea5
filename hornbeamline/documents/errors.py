"""Errors of numbered configuration documents."""

from __future__ import annotations

from hornbeamline.exceptions import DocumentError


class InvalidDocumentError(DocumentError):
    """The document is refused as a whole; nothing has changed."""


class DocumentUnavailableError(DocumentError):
    """The leader did not answer; a change may still be accepted."""

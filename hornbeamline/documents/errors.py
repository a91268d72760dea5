"""Errors of storing and reading configuration documents."""

from __future__ import annotations

from hornbeamline.exceptions import DocumentError


class InvalidDocumentError(DocumentError):
    """The whole document is refused; the stored one is unchanged."""


class DocumentUnavailableError(DocumentError):
    """The leader did not answer; a document may still be stored."""

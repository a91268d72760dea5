"""Whole configuration documents that the operator numbers."""

from __future__ import annotations

from hornbeamline.documents._machine import DocumentMachine, StoredDocument
from hornbeamline.documents._service import DocumentService
from hornbeamline.documents.errors import (
    DocumentUnavailableError,
    InvalidDocumentError,
)

__all__ = (
    'DocumentMachine',
    'DocumentService',
    'DocumentUnavailableError',
    'InvalidDocumentError',
    'StoredDocument',
)

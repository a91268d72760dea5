"""Configuration documents, each complete and numbered by the operator.

The module `service` is used only by control processes.
"""

from __future__ import annotations

from hornbeamline.documents._machine import DocumentMachine, StoredDocument
from hornbeamline.documents.errors import (
    DocumentUnavailableError,
    InvalidDocumentError,
)

__all__ = (
    'DocumentMachine',
    'DocumentUnavailableError',
    'InvalidDocumentError',
    'StoredDocument',
)

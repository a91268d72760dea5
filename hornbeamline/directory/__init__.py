"""Which hornbeamline processes are there, and the document in force."""

from __future__ import annotations

from hornbeamline.directory._member import DirectoryMember
from hornbeamline.directory._messages import Presence
from hornbeamline.directory._registry import DirectoryRegistry

__all__ = ('DirectoryMember', 'DirectoryRegistry', 'Presence')

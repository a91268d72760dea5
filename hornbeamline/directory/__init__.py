"""Membership of hornbeamline processes and the document in force.

`registry` is the control-process side.
"""

from __future__ import annotations

from hornbeamline.directory._loads import ProcessLoad
from hornbeamline.directory._member import DirectoryMember
from hornbeamline.directory._messages import Presence

__all__ = ('DirectoryMember', 'Presence', 'ProcessLoad')

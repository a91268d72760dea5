"""Remote calls from any process to the leader of the control hosts."""

from __future__ import annotations

from hornbeamline.control_link._client import LeaderClient
from hornbeamline.control_link._server import LeaderServer
from hornbeamline.control_link.errors import LeaderUnavailableError

__all__ = ('LeaderClient', 'LeaderServer', 'LeaderUnavailableError')

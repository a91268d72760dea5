"""Leadership transfer before a graceful stop."""

from __future__ import annotations

import asyncio

from hornbeamline.exceptions import PeeringError
from hornbeamline.replog._leadership import Leadership
from hornbeamline.replog._messages import Accepted, TimeoutNow
from hornbeamline.replog._node import Node
from hornbeamline.telemetry import log_event


async def transfer_leadership(node: Node) -> None:
    """Transfer the leadership to an up-to-date voter, if this node leads.

    New proposals are refused during the transfer. Returns after two election
    timeouts at the latest, even without a successor.
    """
    leadership = node.leadership
    if leadership is None or len(leadership.members.voters) < 2:
        return
    node.is_transferring = True
    storage = node.settings.storage
    deadline_s = node.clock.monotonic() + 2 * storage.election_timeout_max_s
    while not leadership.is_closed and node.clock.monotonic() < deadline_s:
        successor = _successor(node, leadership)
        if successor is not None:
            await _send_timeout_now(node, leadership, successor)
        await asyncio.sleep(storage.heartbeat_interval_s / 2)


def _successor(node: Node, leadership: Leadership) -> str | None:
    """Return a voter with the complete log, if any.

    While proposals are pending there is none.
    """
    if leadership.pending_count:
        return None
    candidates = [
        progress
        for name, progress in sorted(leadership.table.progress_by_name.items())
        if leadership.members.is_voter(name, progress.identity)
        and progress.match_index == node.journal.last_index
    ]
    if not candidates:
        return None
    return max(candidates, key=lambda progress: progress.last_contact_at).name


async def _send_timeout_now(
    node: Node, leadership: Leadership, successor: str
) -> None:
    try:
        await node.peering.call(
            successor,
            TimeoutNow(leadership.term),
            Accepted,
            node.settings.storage.heartbeat_interval_s,
        )
    except PeeringError as error:
        log_event('replog.transfer_failed', error=str(error))

"""All links of a process: heartbeats, liveness and learned addresses."""

from __future__ import annotations

import asyncio
import functools
import re
from collections.abc import Callable
from typing import Final

from hornbeamline.core import TaskSet
from hornbeamline.helpers.clock import Clock
from hornbeamline.inventory import PeeringSettings
from hornbeamline.peering._frames import Heartbeat
from hornbeamline.peering._link import Identity, Link
from hornbeamline.peering._metrics import REDIALS, count_dropped
from hornbeamline.peering.const import (
    LEARNED_PEER_TTL_S,
    MAX_LEARNED_PEERS,
    STOP_LINGER_S,
)
from hornbeamline.telemetry import log_event

_ADDRESS: Final = re.compile(
    r'(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):\d{1,5}',
)
# Prevents a busy loop when the next timer is already late.
_MIN_SLEEP_S: Final = 0.005

LivenessCallback = Callable[[str, bool], None]


class Links:
    """Links by peer, each maintained by a task while started."""

    def __init__(
        self,
        settings: PeeringSettings,
        identity: Identity,
        clock: Clock,
    ) -> None:
        """Create an empty set of links.

        `settings` has the heartbeat interval and the silence timeout.
        """
        self.by_peer: dict[str, Link] = {}
        self._settings = settings
        self._identity = identity
        self._clock = clock
        self._tasks = TaskSet()
        self._tasks_by_peer: dict[str, asyncio.Task[None]] = {}
        self._callbacks: list[LivenessCallback] = []
        self._started = False

    def start(self) -> None:
        """Dial all peers and start to send heartbeats."""
        self._started = True
        for link in self.by_peer.values():
            self._start_link(link)

    async def stop(self) -> None:
        """Flush and close all links."""
        self._started = False
        await self._tasks.cancel_all()
        for link in self.by_peer.values():
            link.flush()
        await asyncio.sleep(STOP_LINGER_S)
        for closing in self.by_peer.values():
            closing.close()

    def add(self, name: str, address: str, *, learned: bool) -> None:
        """Open a link, or change the address of the existing one."""
        known = self.by_peer.get(name)
        if known is not None:
            known.learned = learned
            if known.address != address:
                known.address = address
                self._redial(known)
            return
        link = Link(
            name,
            address,
            self._identity,
            self._clock,
            self._settings.heartbeat_interval_s,
            learned=learned,
        )
        self.by_peer[name] = link
        if self._started:
            self._start_link(link)

    def remove(self, name: str) -> None:
        """Close the link to a peer, if there is one."""
        link = self.by_peer.pop(name, None)
        if link is None:
            return
        task = self._tasks_by_peer.pop(name, None)
        if task is not None:
            task.cancel()
        link.close()

    def on_liveness(self, callback: LivenessCallback) -> None:
        """Call back when a peer goes silent or is heard from again."""
        self._callbacks.append(callback)

    def is_alive(self, peer: str) -> bool:
        """Return whether the peer was heard from within the silence timeout."""
        link = self.by_peer.get(peer)
        if link is None or link.heard_at is None:
            return False
        silent_s = self._clock.monotonic() - link.heard_at
        return silent_s <= self._settings.silence_timeout_s

    def record_heard(self, peer: str) -> None:
        """Record that a frame of a peer was received."""
        link = self.by_peer.get(peer)
        if link is None:
            return
        link.heard_at = self._clock.monotonic()
        if not link.alive:
            self._set_alive(link, alive=True)

    def handle_heartbeat(self, peer: str, heartbeat: Heartbeat) -> None:
        """Learn the sender's address and pass the heartbeat to its link."""
        link = self.by_peer.get(peer)
        if link is None or link.learned:
            self._learn(peer, heartbeat.address)
            self.record_heard(peer)
            link = self.by_peer.get(peer)
        if link is not None:
            link.handle_heartbeat(heartbeat)

    def _learn(self, peer: str, address: str) -> None:
        if not _ADDRESS.fullmatch(address):
            count_dropped('bad_address')
            return
        if peer not in self.by_peer:
            learned_count = sum(link.learned for link in self.by_peer.values())
            if learned_count >= MAX_LEARNED_PEERS:
                count_dropped('too_many_peers')
                return
        self.add(peer, address, learned=True)

    def _start_link(self, link: Link) -> None:
        link.dial()
        self._tasks_by_peer[link.peer] = self._tasks.keep_running(
            functools.partial(self._maintain, link),
            f'peer {link.peer}',
        )

    async def _maintain(self, link: Link) -> None:
        timeout_s = self._settings.silence_timeout_s
        interval_s = self._settings.heartbeat_interval_s
        while True:
            silent_at = link.confirmed_at + timeout_s
            wake_at = min(link.heartbeat_sent_at + interval_s, silent_at)
            if link.alive and link.heard_at is not None:
                wake_at = min(wake_at, link.heard_at + timeout_s)
            wait_s = wake_at - self._clock.monotonic()
            await asyncio.sleep(max(wait_s, _MIN_SLEEP_S))
            now = self._clock.monotonic()
            # A stall of this process must not count as silence of the link.
            link.confirmed_at += max(now - wake_at - interval_s, 0)
            if link.alive and not self.is_alive(link.peer):
                self._set_alive(link, alive=False)
            if self._is_expired(link, now):
                self.remove(link.peer)
                return
            if now >= link.confirmed_at + timeout_s:
                self._redial(link)
            elif now >= link.heartbeat_sent_at + interval_s:
                link.send_heartbeat()

    def _redial(self, link: Link) -> None:
        if not self._started:
            return
        REDIALS.inc()
        link.dial()

    def _is_expired(self, link: Link, now: float) -> bool:
        if not link.learned or link.heard_at is None:
            return False
        return now - link.heard_at > LEARNED_PEER_TTL_S

    def _set_alive(self, link: Link, *, alive: bool) -> None:
        link.alive = alive
        log_event('peering.liveness', peer=link.peer, alive=alive)
        for callback in self._callbacks:
            try:
                callback(link.peer, alive)
            except Exception as error:
                # A failing callback must not end the task of the peer.
                log_event('peering.callback_failed', error=repr(error))

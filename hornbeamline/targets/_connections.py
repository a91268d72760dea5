"""Connections that call a hook before the first byte of a call."""

from __future__ import annotations

import contextlib
import contextvars
from collections.abc import Iterator
from typing import Any, Final

import aiohttp

from hornbeamline.targets._messages import BeforeSend

CONNECT_TIMEOUT_S: Final = 1.0
IDLE_REUSE_S: Final = 2.0


class SendProgress:
    """Whether the first byte of one call may have been written."""

    def __init__(self, before_send: BeforeSend | None) -> None:
        """Take the hook of the call."""
        self._before_send = before_send
        self.may_be_sent = False

    def begin(self) -> None:
        """Call the hook, then note that writing begins."""
        if self._before_send is not None:
            self._before_send()
        self.may_be_sent = True


current_progress: contextvars.ContextVar[SendProgress | None]
current_progress = contextvars.ContextVar('current_progress', default=None)


@contextlib.contextmanager
def sending(progress: SendProgress) -> Iterator[None]:
    """Let connections of this task report to `progress`."""
    current_progress.set(progress)
    try:
        yield
    finally:
        # A later call of this task must not meet the hook of this one.
        current_progress.set(None)


class GuardedConnector(aiohttp.TCPConnector):
    """Connector that runs the hook once the connection is there.

    aiohttp writes the request right after `connect` returns, without an
    await in between.
    """

    async def connect(self, *args: Any, **options: Any) -> Any:
        """Return a connection; raises what the hook raises."""
        connection = await super().connect(*args, **options)
        progress = current_progress.get()
        if progress is not None:
            try:
                progress.begin()
            except BaseException:
                connection.close()
                raise
        return connection


def open_session(*, reuse: bool) -> aiohttp.ClientSession:
    """Return a session that never repeats a call by itself.

    aiohttp sends GET, PUT and DELETE again when a reused connection turns
    out to be closed, and follows redirects of any method. Without reuse
    there is no such connection; redirects are off in every call.
    """
    if reuse:
        connector = GuardedConnector(limit=0, keepalive_timeout=IDLE_REUSE_S)
    else:
        connector = GuardedConnector(limit=0, force_close=True)
    return aiohttp.ClientSession(
        connector=connector,
        cookie_jar=aiohttp.DummyCookieJar(),
        auto_decompress=False,
        skip_auto_headers=('User-Agent', 'Accept-Encoding'),
    )

"""Connections that run a hook before the first byte of a call."""

from __future__ import annotations

import contextlib
import contextvars
from collections.abc import Iterator
from typing import Any, Final

import aiohttp

from hornbeamline.helpers.http_client import BoundedConnector, forbid_resend
from hornbeamline.targets._messages import BeforeSend
from hornbeamline.telemetry import log_event

CONNECT_TIMEOUT_S: Final = 1.0
KEEPALIVE_TIMEOUT_S: Final = 2.0


class CallRepeatedError(aiohttp.ClientConnectionError):
    """The HTTP library tried to send a call a second time."""


class SendProgress:
    """Tracks whether the first byte of a call may have been written."""

    def __init__(self, before_send: BeforeSend | None) -> None:
        """Create the state of an unsent call with its hook."""
        self._before_send = before_send
        self.may_be_sent = False

    def begin(self) -> None:
        """Run the hook, then record that writing begins.

        If the hook raises, the call counts as unsent. Raises
        `CallRepeatedError` the second time: whether a call is repeated is
        the decision of its sender, not of the HTTP library.
        """
        if self.may_be_sent:
            log_event('targets.call_repeated')
            raise CallRepeatedError('the call has been sent before')
        if self._before_send is not None:
            self._before_send()
        self.may_be_sent = True


current_progress: contextvars.ContextVar[SendProgress | None]
current_progress = contextvars.ContextVar('current_progress', default=None)


@contextlib.contextmanager
def track_send_progress(progress: SendProgress) -> Iterator[None]:
    """Associate connections made by the current task with `progress`."""
    current_progress.set(progress)
    try:
        yield
    finally:
        # A later call of this task must not run the hook of this call.
        current_progress.set(None)


class GuardedConnector(BoundedConnector):
    """Connector that runs the hook of a call once it is connected.

    aiohttp writes the request right after `connect` returns, without an
    await in between, so no other task runs between the hook and the first
    byte.
    """

    async def connect(self, *args: Any, **options: Any) -> Any:
        """Return a connection; propagates errors of the hook."""
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

    aiohttp follows redirects of any method, so every call must disable them.
    Without `reuse`, each call has its own connection.
    """
    if reuse:
        connector = GuardedConnector(
            limit=0,
            keepalive_timeout=KEEPALIVE_TIMEOUT_S,
        )
    else:
        connector = GuardedConnector(limit=0, force_close=True)
    return aiohttp.ClientSession(
        connector=connector,
        cookie_jar=aiohttp.DummyCookieJar(),
        auto_decompress=False,
        middlewares=(forbid_resend,),
        skip_auto_headers=('User-Agent', 'Accept-Encoding'),
    )

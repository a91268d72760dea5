"""Errors of calls to targets.

Each class states whether the call may have run at the target.
"""

from __future__ import annotations

from hornbeamline.exceptions import TargetError


class TargetUnreachableError(TargetError):
    """No connection was made and no byte written: the call did not run."""


class TargetNotSentError(TargetError):
    """`before_send` aborted the call before its first byte: it did not run."""


class TargetRefusedError(TargetError):
    """The target refused the call and declared that it did not run."""

    def __init__(
        self,
        target: str,
        *,
        is_leaving: bool = False,
        pause_s: float = 0,
    ) -> None:
        """Create an error for a refusal by `target`.

        `is_leaving` tells whether the target is shutting down, and `pause_s` is
        the number of seconds for which it asks to get no calls.
        """
        super().__init__(f'target {target} refused the call')
        self.is_leaving = is_leaving
        self.pause_s = pause_s


class TargetVersionError(TargetError):
    """The target cannot resume a stream of another software version."""


class TargetLostError(TargetError):
    """The connection was lost after sending began: the call may have run."""


class TargetTimeoutError(TargetLostError):
    """No answer came in time: the call may have run."""


class TargetFailedError(TargetError):
    """The target answered with an error: the call may have run."""

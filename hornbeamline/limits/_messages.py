"""Messages between hosts that use a limited target and its granter."""

from __future__ import annotations

from typing import NamedTuple

from hornbeamline.peering import message


@message('limits.ask')
class AskPermit(NamedTuple):
    """Asks the granter of a target for a permit."""

    target: str
    service: str
    # What the sender believes, and how long ago the target told it so
    # itself; infinite when only others did.
    limit_per_s: float
    named_ago_s: float
    # Longest time that the request can wait.
    max_wait_s: float
    # The request serves no caller and takes only what is left over.
    is_spare: bool = False


@message('limits.ask_reply')
class PermitReply(NamedTuple):
    """A permit, or when to ask again."""

    # The asked host grants permits for this target.
    is_granter: bool
    # Infinite when the target names no limit any more.
    limit_per_s: float
    # Number of the permit; 0 without one.
    number: int
    # The request is sent after this time.
    delay_s: float
    # Seconds until a further permit is granted without a delay.
    next_s: float


@message('limits.report')
class ReportLimit(NamedTuple):
    """What a target named in an answer."""

    target: str
    service: str
    # Infinite when the answer named no limit.
    limit_per_s: float
    # Permit of the request that was answered; 0 without one.
    permit: int = 0


@message('limits.report_reply')
class LimitState(NamedTuple):
    """What the granter believes of a target."""

    is_granter: bool
    limit_per_s: float

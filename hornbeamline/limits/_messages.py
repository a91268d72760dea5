"""Messages between the hosts that use a limited target and its granter."""

from __future__ import annotations

from typing import NamedTuple

from hornbeamline.peering import message


@message('limits.ask')
class AskPermit(NamedTuple):
    """Request for a permit, sent to the granter of a target."""

    target: str
    service: str
    # Limit known to the sender, and the time since the target stated it to
    # the sender; infinite if the sender knows it from the granter only.
    limit_per_s: float
    named_ago_s: float
    # Longest delay that the request accepts.
    max_wait_s: float
    # The request serves no caller and gets only permits left unused.
    is_spare: bool = False


@message('limits.ask_reply')
class PermitReply(NamedTuple):
    """Permit, or the time until the next request for one."""

    # Whether the replying host is the granter of this target.
    is_granter: bool
    # Infinite if the target no longer has a limit.
    limit_per_s: float
    # Number of the permit; 0 if none is granted.
    number: int
    # Time to wait before the request is sent.
    delay_s: float
    # Time until a further permit is granted without a delay.
    next_s: float


@message('limits.ask_cold')
class AskColdPermit(NamedTuple):
    """Request for a permit for a cold target; answered as `AskPermit`."""

    permit_request: AskPermit
    # Rate of the warm-up as known to the sender, in requests per second.
    warmup_per_s: float
    # How long calls of the sender show that the target stays cold; 0 if it
    # is known to be cold from elsewhere only.
    observed_left_s: float


@message('limits.report_cold')
class ReportCold(NamedTuple):
    """Tells the granter that a call has shown a target to be cold."""

    target: str
    service: str
    observed_left_s: float


@message('limits.report')
class ReportLimit(NamedTuple):
    """Limit that a target stated in an answer, sent to the granter."""

    target: str
    service: str
    # Infinite if the answer stated no limit.
    limit_per_s: float
    # Permit of the answered request; 0 if it had none.
    permit: int = 0


@message('limits.report_reply')
class LimitState(NamedTuple):
    """Limit of a target as known to the granter."""

    is_granter: bool
    limit_per_s: float

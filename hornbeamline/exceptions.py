"""Base classes of exceptions; components derive theirs from these."""

from __future__ import annotations


class HornbeamlineError(Exception):
    """Base class of every error that hornbeamline raises."""


class KernelError(HornbeamlineError):
    """A service is missing, registered twice or failed to start."""


class InventoryError(HornbeamlineError):
    """Settings, inventory or rules are invalid or unreadable."""


class PeeringError(HornbeamlineError):
    """A call to another hornbeamline process failed."""


class ReplicatedLogError(HornbeamlineError):
    """The replicated log could not serve an operation."""


class NotLeaderError(ReplicatedLogError):
    """This host is not the leader; nothing was proposed."""

    def __init__(self, leader: str | None) -> None:
        """Initialize with the name of the known leader, if any."""
        super().__init__(f'not the leader; known leader: {leader or "none"}')
        self.leader = leader


class LedgerError(HornbeamlineError):
    """A session or claim operation failed."""


class ConfigurationError(HornbeamlineError):
    """A configuration operation failed."""


class TargetError(HornbeamlineError):
    """A call to a target failed."""


class PipelineError(HornbeamlineError):
    """A pipeline could not be executed."""


class OrderError(HornbeamlineError):
    """An order to a model engine failed."""


class DocumentError(HornbeamlineError):
    """A configuration document is invalid or could not be stored."""


class GatewayError(HornbeamlineError):
    """A request could not be passed on."""


class BatchingError(HornbeamlineError):
    """Pieces of a stage could not be computed."""


class QuarantineError(HornbeamlineError):
    """A request must not be sent to an engine."""


class OriginError(HornbeamlineError):
    """The software version that began a stream is not known."""


class EvacuationError(HornbeamlineError):
    """An evacuation order was not carried out."""

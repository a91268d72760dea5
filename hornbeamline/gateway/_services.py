"""What the gateway serves requests with."""

from __future__ import annotations

from typing import NamedTuple

from hornbeamline.gateway._forwarder import Forwarder
from hornbeamline.gateway._stages import StageRunner
from hornbeamline.gateway._stream_versions import StreamVersions
from hornbeamline.gateway._targets import TargetDirectory
from hornbeamline.helpers.budget import RetryBudget
from hornbeamline.quarantine import PartQuarantine


class GatewayServices(NamedTuple):
    """What a gateway serves requests with."""

    targets: TargetDirectory
    forwarder: Forwarder
    stages: StageRunner
    # Limits the retries of all requests.
    budget: RetryBudget
    quarantine: PartQuarantine
    versions: StreamVersions

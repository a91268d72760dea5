"""Settings and faults of a stand-in target."""

from __future__ import annotations

from msgspec import Struct

from hornbeamline.inventory import ServiceKind


class Faults(
    Struct,
    frozen=True,
    forbid_unknown_fields=True,
    kw_only=True,
):
    """Faults to inject; `POST /v1/faults` replaces all of them."""

    # Multiplies every service time.
    slow: float = 1
    # Accepts requests but never answers.
    stuck: bool = False
    # Executes the request, then resets the connection instead of answering.
    reset_after_execution: bool = False
    # Refuses with 503 and `X-Not-Run` before any execution.
    refuse: bool = False
    # Refuses like `refuse` and adds `X-Leaving`.
    leaving: bool = False
    # Refuses like `refuse` and sends this time as `Retry-After`; 0 for off.
    rest_s: float = 0
    # Executes the request, then answers with status 500.
    error: bool = False
    # Answers with the request id of another request.
    wrong_request_id: bool = False
    # Connections that are open when the fault is set never answer again.
    silence_connections: bool = False
    # Resets all connections, refuses new ones for this time, then listens
    # again; 0 for off.
    dead_s: float = 0
    # Engines: ends as for `dead_s` when the answer to a prompt with this text
    # begins, and listens again after `crash_s`; empty for off.
    crash_on_text: str = ''
    crash_s: float = 3
    # Resets a token stream after this many tokens; 0 for never.
    break_stream_after: int = 0
    # Stalls a token stream after this many tokens without closing it; 0 for
    # never.
    stall_stream_after: int = 0
    # Share of the requests to `/v1/run` and `/v1/completions` that the faults
    # above affect. `slow`, `silence_connections` and `dead_s` ignore it.
    share: float = 1


class EngineSettings(
    Struct,
    frozen=True,
    forbid_unknown_fields=True,
    kw_only=True,
):
    """Behaviour of a stand-in model engine."""

    max_batch: int = 32
    # Time to first token: a fixed time plus a time per uncached prompt token.
    first_token_ms: float = 20
    prefill_ms_per_token: float = 0.05
    # Time per token: a fixed time plus a time per sequence in the batch.
    token_ms: float = 5
    token_ms_per_sequence: float = 0.05
    # Capacity of the prefix cache; delay and loss rate of its events.
    cached_prefixes: int = 64
    event_delay_s: float = 0.5
    event_loss: float = 0.05
    role: str = 'serve'
    # Versions of the models that are loaded at start, by name.
    models: dict[str, str] = {}
    load_model_s: float = 2
    load_adapter_s: float = 0.5
    checks_fencing: bool = True


class StandinSettings(
    Struct,
    frozen=True,
    forbid_unknown_fields=True,
    kw_only=True,
):
    """Behaviour of a stand-in target."""

    name: str
    address: str
    service: str
    kind: ServiceKind = ServiceKind.plain
    service_ms: float = 20
    service_jitter_ms: float = 5
    concurrency: int = 8
    # Answers a repeated Idempotency-Key with the recorded answer.
    deduplicates: bool = False
    # Delay of the figures that `GET /v1/load` reports.
    load_delay_s: float = 0.2
    engine: EngineSettings = EngineSettings()
    # Version of the server software; generated tokens depend on it.
    software_version: str = ''
    faults: Faults = Faults()
    seed: int = 0

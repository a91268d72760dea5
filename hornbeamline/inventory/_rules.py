"""Schema of the rules by which a fleet serves requests."""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta, Struct

Fraction = Annotated[float, Meta(ge=0, le=1)]
Positive = Annotated[float, Meta(gt=0)]
PositiveInt = Annotated[int, Meta(ge=1)]
NonNegative = Annotated[float, Meta(ge=0)]
HourOfDay = Annotated[int, Meta(ge=0, le=24)]
Weekday = Annotated[int, Meta(ge=1, le=7)]


class RuleGroup(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Base class of rule tables; unknown keys are rejected."""


class RoutingRules(RuleGroup, frozen=True, kw_only=True):
    """Selection of the target for a stage."""

    algorithm: str = 'two_choices'
    # `two_choices` samples two targets for each stage; prefix affinity
    # applies to generation only.
    prefix_affinity: bool = True
    # Targets in other data centres are considered when the load of the
    # local ones exceeds this share of their limit.
    spill_threshold: Fraction = 0.8
    load_half_life_s: Positive = 1.0
    # False keeps failing and slow targets in routing, as a baseline for
    # comparisons.
    ejection: bool = True
    ejection_failures: PositiveInt = 5
    ejection_s: Positive = 5.0
    slow_return_s: Positive = 10.0


class AdmissionRules(RuleGroup, frozen=True, kw_only=True):
    """Admission control: which requests are refused on arrival."""

    # False also admits requests that are predicted to miss their deadline,
    # as a baseline for comparisons.
    by_prediction: bool = True
    queue_length: PositiveInt = 512
    # Share of the end-to-end deadline that admission keeps as a margin.
    deadline_reserve: Fraction = 0.05
    retry_after_jitter: Fraction = 0.5
    max_retry_after_s: Positive = 30.0


class LimitRules(RuleGroup, frozen=True, kw_only=True):
    """Adaptive concurrency limit of each target."""

    # False fixes every limit at `max_concurrency`, as a baseline for
    # comparisons.
    adaptive: bool = True
    initial_concurrency: PositiveInt = 8
    min_concurrency: PositiveInt = 1
    max_concurrency: PositiveInt = 256
    latency_tolerance: Positive = 2.0


class RetryRules(RuleGroup, frozen=True, kw_only=True):
    """Retries of idempotent stages."""

    budget: Fraction = 0.1
    max_attempts: PositiveInt = 3
    base_delay_ms: NonNegative = 10
    max_delay_ms: NonNegative = 200


class HedgeRules(RuleGroup, frozen=True, kw_only=True):
    """Hedged calls: duplicates of slow idempotent calls."""

    enabled: bool = True
    budget: Fraction = 0.05
    quantile: Fraction = 0.95


class ServiceHours(RuleGroup, frozen=True, kw_only=True):
    """Hours (UTC) in which attainment has priority over cost."""

    weekdays: list[Weekday]
    from_hour: HourOfDay
    to_hour: HourOfDay


class CostRules(RuleGroup, frozen=True, kw_only=True):
    """Trade-off between attainment and cost."""

    # 0 permits all extra work that raises attainment, 1 permits none.
    weight: Fraction = 0
    weight_in_service_hours: Fraction = 0
    service_hours: list[ServiceHours] = []


class MembershipRules(RuleGroup, frozen=True, kw_only=True):
    """Polling of the platform's list of live and leaving targets."""

    poll_interval_s: Positive = 1.0
    leaving_hold_s: Positive = 10.0


class OrderRules(RuleGroup, frozen=True, kw_only=True):
    """Orders to model engines, and model loads from the weight store."""

    weight_store_gb_per_s: Positive = 1.0
    weight_store_burst_gb: Positive = 20.0
    order_lease_s: Positive = 5.0
    order_flight_s: Positive = 2.0
    reconcile_interval_s: Positive = 1.0


class Rules(RuleGroup, frozen=True, kw_only=True):
    """All rules of a fleet."""

    routing: RoutingRules = RoutingRules()
    admission: AdmissionRules = AdmissionRules()
    limits: LimitRules = LimitRules()
    retry: RetryRules = RetryRules()
    hedge: HedgeRules = HedgeRules()
    cost: CostRules = CostRules()
    membership: MembershipRules = MembershipRules()
    orders: OrderRules = OrderRules()

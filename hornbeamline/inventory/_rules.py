"""Rules that operators set on top of the inventory."""

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
    """Base of a table of rules; unknown keys are refused."""


class RoutingRules(RuleGroup, frozen=True, kw_only=True):
    """How a stage picks its target."""

    algorithm: str = 'two_choices'
    # Two choices per stage; prefix affinity only applies to generation.
    prefix_affinity: bool = True
    # Targets of other data centres are considered when the own ones carry
    # more than this share of their limit.
    spill_threshold: Fraction = 0.8
    load_half_life_s: Positive = 1.0
    # False leaves failing and slow targets in routing; for comparisons.
    ejection: bool = True
    ejection_failures: PositiveInt = 5
    ejection_s: Positive = 5.0
    slow_return_s: Positive = 10.0


class AdmissionRules(RuleGroup, frozen=True, kw_only=True):
    """When a request is refused at once."""

    # False admits requests that can't finish in time; for comparisons.
    by_prediction: bool = True
    queue_length: PositiveInt = 512
    # Share of the end-to-end deadline that predictions keep in reserve.
    deadline_reserve: Fraction = 0.05
    retry_after_jitter: Fraction = 0.5
    max_retry_after_s: Positive = 30.0


class LimitRules(RuleGroup, frozen=True, kw_only=True):
    """Adaptive concurrency per target."""

    # False holds every limit at `max_concurrency`; for comparisons.
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
    """Second copies of slow idempotent calls."""

    enabled: bool = True
    budget: Fraction = 0.05
    quantile: Fraction = 0.95


class ServiceHours(RuleGroup, frozen=True, kw_only=True):
    """Hours (UTC) in which attainment goes before cost."""

    weekdays: list[Weekday]
    from_hour: HourOfDay
    to_hour: HourOfDay


class CostRules(RuleGroup, frozen=True, kw_only=True):
    """Trade of attainment against cost."""

    # 0 spends whatever attainment needs, 1 never spends extra work.
    weight: Fraction = 0
    weight_in_service_hours: Fraction = 0
    service_hours: list[ServiceHours] = []


class MembershipRules(RuleGroup, frozen=True, kw_only=True):
    """Use of the platform's list of live and leaving targets."""

    poll_interval_s: Positive = 1.0
    leaving_hold_s: Positive = 10.0


class OrderRules(RuleGroup, frozen=True, kw_only=True):
    """Orders to model engines and loads from the weight store."""

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

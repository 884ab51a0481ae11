"""Settings of the front process beyond those in its node file."""

from typing import Annotated

from msgspec import Meta, field

from sesameknot.settings._struct import SettingsStruct
from sesameknot.settings.tree import DurationS, PositiveCount

Share = Annotated[float, Meta(ge=0.0, le=1.0)]
Confidence = Annotated[float, Meta(ge=0.0, le=100.0)]


class StoreSettings(SettingsStruct):
    """Timeouts and intervals of calls to the platform's store."""

    call_timeout_s: DurationS = 1.0
    # The watch of one kind waits at most so long, so that its failure soon shows the
    # followers of all kinds that the store does not answer. With short heartbeats it
    # waits less.
    probe_wait_s: DurationS = 3.0
    watch_wait_s: DurationS = 20.0
    watch_margin_s: DurationS = 0.8
    # After a change of endpoints, the next call waits for this part of the time within
    # which a leaving endpoint must get no more requests, and fetches all changes since.
    gather_part: Share = 0.35
    retry_min_s: DurationS = 0.2
    retry_max_s: DurationS = 1.0
    host_list_interval_s: DurationS = 8.0


class CascadeStrategySettings(SettingsStruct):
    """Strategy for choosing among the models of a route."""

    strategy: str = "smallest_then_largest"
    # Indexed by priority, the most urgent first; the last threshold also applies to all
    # lower priorities.
    confidence_thresholds: Annotated[list[Confidence], Meta(min_length=1)] = field(
        default_factory=lambda: [65.0, 45.0]
    )
    # Wanted share of good answers on routes whose latency target is at least half of
    # their timeout; 0 applies the thresholds there too.
    quality_target: Share = 0.9
    # Recent confidences of such a route that its threshold follows from.
    confidence_window_count: PositiveCount = 200
    # A model's answer is taken to need the time that this share of its recent answers
    # did not exceed; their weight falls to a third after ``time_decay_s``.
    time_quantile: Annotated[float, Meta(gt=0.0, le=1.0)] = 0.9
    time_decay_s: DurationS = 60.0


class PressureSettings(SettingsStruct):
    """Levels of pressure, the time to the first part of answers over its target.

    Up to ``calm_level``, all answers below the confidence threshold are replaced by a
    larger model's; from ``full_level`` on, none is.
    """

    calm_level: Annotated[float, Meta(ge=0.0)] = 0.25
    full_level: Annotated[float, Meta(gt=0.0)] = 0.7
    # An attempt without a first event is abandoned for another one after this multiple
    # of the usual time.
    patience_factor: Annotated[float, Meta(gt=0.0)] = 6.0


class PlacementSettings(SettingsStruct):
    """Strategy for choosing an endpoint, and the costs that it compares."""

    strategy: str = "prompt_cache"
    prefill_ms_per_token: Annotated[float, Meta(gt=0.0)] = 0.015
    request_load_ms: Annotated[float, Meta(ge=0.0)] = 5.0
    other_domain_ms: Annotated[float, Meta(ge=0.0)] = 100.0
    failure_penalty_ms: Annotated[float, Meta(ge=0.0)] = 1000.0
    # Added for each request beyond the endpoint's slots.
    waiting_ms: Annotated[float, Meta(ge=0.0)] = 200.0
    # Added if the endpoint should run other models than the requested one.
    other_model_ms: Annotated[float, Meta(ge=0.0)] = 300.0
    cache_life_s: DurationS = 10.0
    # Learns the time per event of streams by endpoint, and lets slow endpoints have
    # less work.
    learn_pace: bool = False


class AttemptSettings(SettingsStruct):
    """Limits of single attempts; factors multiply the route's latency target."""

    connect_timeout_s: DurationS = 0.3
    first_event_factor: Annotated[float, Meta(gt=0.0)] = 1.5
    plain_answer_factor: Annotated[float, Meta(gt=0.0)] = 2.0
    event_gap_factor: Annotated[float, Meta(gt=0.0)] = 2.0
    not_run_resend_count: PositiveCount = 3
    # Bytes within an event, or of a plain answer, that show that an endpoint works.
    progress_bytes: PositiveCount = 1024
    # Plain answers, and events of streams, are held in memory until they are complete:
    # each one, and all of a host.
    answer_limit_bytes: PositiveCount = 8 * 1024 * 1024
    all_answers_limit_bytes: PositiveCount = 32 * 1024 * 1024
    # Bytes of each answer that do not count for all of them.
    small_answer_bytes: PositiveCount = 32 * 1024


class MemorySettings(SettingsStruct):
    """Division of the host's memory limit."""

    # Set aside for the process itself. One without requests takes 42 MB in a small
    # deployment; the state of 144 endpoints with their routes adds 30 MB.
    process_mb: PositiveCount = 80
    # Share of the rest, less all answers, for the bodies of requests. What remains
    # covers the buffers of connections and memory that the allocator can't reuse.
    body_share: Annotated[float, Meta(gt=0.0, le=1.0)] = 0.6
    # Bodies up to this size may use all of it; larger ones leave a share to them.
    small_body_bytes: PositiveCount = 32 * 1024
    small_body_share: Share = 0.25
    # Least memory for bodies, however small the host's limit is.
    least_body_mb: PositiveCount = 8
    # Callers whose body finds no memory are asked to come again after this time.
    retry_after_s: DurationS = 0.5
    # Time within which a body must come, unless its caller's deadline is earlier.
    body_limit_s: DurationS = 30.0


class RolloutPlanSettings(SettingsStruct):
    """Schedule of a roll-out; times are shares of its duration."""

    first_share: Share = 0.25
    first_share_at: Share = 0.505
    full_share_at: Share = 0.72
    decide_at: Share = 0.88
    step_interval_s: DurationS = 0.5


class SchedulingSettings(SettingsStruct):
    """Scheduling of requests while endpoints lack room.

    It also needs a host whose node file declares that endpoints have limited memory.
    """

    enabled: bool = False
    ordering: str = "least_cost"
    # Requests that may wait, for each service on each host.
    queue_limit_count: PositiveCount = 64
    # Largest share of its latency target for which a request may wait. It is less where
    # first events take longer than the rest.
    wait_share: Share = 0.8
    # Share of taken slots up to which every request starts at once.
    crowded_share: Annotated[float, Meta(gt=0.0)] = 0.9
    # Requests beyond the slots that endpoints may hold, as a share of the slots. Loads
    # are up to 0.5 s old, so without them, slots that become free meanwhile stay empty
    # and a host with much of the load refuses requests too early.
    endpoint_queue_share: Annotated[float, Meta(ge=0.0)] = 0.2
    # Share of a host's slots that each priority leaves to the more urgent ones.
    reserve_share: Share = 0.12
    # Initial cost of a generated token, and the share of shared prompt tokens that
    # count as not cached; observed run times of each route correct the result.
    output_ms_per_token: Annotated[float, Meta(gt=0.0)] = 10.0
    uncached_share: Share = 0.5


class LogSettings(SettingsStruct):
    """Limits on log output."""

    lines_per_s: PositiveCount = 400
    queue_count: PositiveCount = 2000


class FrontSettings(SettingsStruct):
    """Settings of the front process; all have defaults."""

    store: StoreSettings = field(default_factory=StoreSettings)
    cascade: CascadeStrategySettings = field(default_factory=CascadeStrategySettings)
    pressure: PressureSettings = field(default_factory=PressureSettings)
    placement: PlacementSettings = field(default_factory=PlacementSettings)
    attempts: AttemptSettings = field(default_factory=AttemptSettings)
    memory: MemorySettings = field(default_factory=MemorySettings)
    rollouts: RolloutPlanSettings = field(default_factory=RolloutPlanSettings)
    scheduling: SchedulingSettings = field(default_factory=SchedulingSettings)
    log: LogSettings = field(default_factory=LogSettings)
    metrics_port: PositiveCount = 9464
    random_state: Annotated[int, Meta(ge=0)] = 0

"""Settings of experiments, read from YAML files."""

from typing import Annotated, Literal

from msgspec import Meta, field

from sesameknot.settings._struct import SettingsStruct
from sesameknot.settings.tree import Count, DurationS, PositiveCount, Share

DeploymentName = Literal["association", "cooperativa"]


class CostSettings(SettingsStruct, tag="cost", tag_field="experiment"):
    """Cost at the quality target.

    Parameters
    ----------
    deployment : {"association", "cooperativa"}
        Workload.
    policies : list of str
        Cascade policies; the first is the baseline.
    shift : bool, default=False
        Whether the cheapest model's quality drops half-way.
    """

    deployment: DeploymentName = "association"
    random_state: Count = 1
    policies: Annotated[list[str], Meta(min_length=1)] = field(
        default_factory=lambda: ["costliest", "cheapest", "adaptive"]
    )
    request_count: PositiveCount = 60_000
    requests_per_s: Annotated[float, Meta(gt=0.0)] = 10.0
    quality_target: Share = 0.8
    shift: bool = False
    rating_share: Share = 0.1
    rating_delay_s: DurationS = 60.0


class LatencySettings(SettingsStruct, tag="latency", tag_field="experiment"):
    """Latency of endpoint choices and goodput under overload.

    Parameters
    ----------
    deployment : {"association", "cooperativa"}
        Workload and endpoints.
    choices : list of str
        Endpoint choices; the first is the baseline.
    loads : list of float
        Offered load as share of what the endpoints can carry.
    """

    deployment: DeploymentName = "association"
    random_state: Count = 1
    choices: Annotated[list[str], Meta(min_length=1)] = field(
        default_factory=lambda: ["random", "least_loaded", "power_of_two", "adaptive"]
    )
    loads: Annotated[list[float], Meta(min_length=1)] = field(
        default_factory=lambda: [0.8, 1.0, 2.0]
    )
    duration_s: DurationS = 600.0
    warmup_s: DurationS = 60.0


class ExposureSettings(SettingsStruct, tag="exposure", tag_field="experiment"):
    """Callers that meet a bad version.

    Parameters
    ----------
    trial_count : int, default=200
        Roll-outs of a good and of a bad version each.
    quality_drop, error_rise : float
        How bad the bad version is.
    step_shares : list of float
        Share of the callers in each step, for all schedules.
    fixed_step_s : float, default=900.0
        Time per step of the fixed schedule.
    false_alarm_rate : float, default=0.05
        Probability to stop a good version, for all schedules.
    """

    random_state: Count = 1
    trial_count: PositiveCount = 200
    requests_per_s: Annotated[float, Meta(gt=0.0)] = 20.0
    quality_drop: Share = 0.05
    error_rise: Share = 0.0
    rating_share: Share = 0.1
    rating_delay_s: DurationS = 60.0
    step_shares: list[Share] = field(default_factory=lambda: [0.01, 0.05, 0.25, 1.0])
    fixed_step_s: DurationS = 900.0
    false_alarm_rate: Share = 0.05


class DomainChangeSettings(SettingsStruct, tag="domain_change", tag_field="experiment"):
    """Service while a failure domain leaves and returns.

    Parameters
    ----------
    deployment : {"association", "cooperativa"}
        Workload and endpoints.
    loads : list of float, default=[0.5, 0.9]
        Offered load as share of what all endpoints carry. The endpoints that remain
        carry two thirds.
    choices : list of str
        Endpoint choices; the first is the baseline.
    sudden : bool, default=False
        Whether the domain fails instead of being taken out by operators.
    spread_s : float, default=2.0
        Time within which routers learn of a domain's state.
    grace_s : float, default=40.0
        Time after which the domain's endpoints stop.
    cold_s : float, default=30.0
        Time of cold start after the return.
    """

    deployment: DeploymentName = "cooperativa"
    random_state: Count = 1
    choices: Annotated[list[str], Meta(min_length=1)] = field(
        default_factory=lambda: ["least_loaded", "adaptive"]
    )
    loads: Annotated[list[float], Meta(min_length=1)] = field(
        default_factory=lambda: [0.5, 0.9]
    )
    sudden: bool = False
    duration_s: DurationS = 600.0
    out_at_s: DurationS = 200.0
    back_at_s: DurationS = 400.0
    spread_s: DurationS = 2.0
    grace_s: DurationS = 40.0
    cold_s: DurationS = 30.0


ExperimentSettings = (
    CostSettings | LatencySettings | ExposureSettings | DomainChangeSettings
)

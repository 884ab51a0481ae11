"""The operators' settings tree: one subtree per team."""

from typing import Annotated, Literal

from msgspec import Meta, field

from sesameknot.settings._struct import SettingsStruct

Name = Annotated[str, Meta(pattern=r"^[a-z0-9][a-z0-9_-]{0,62}$")]
Share = Annotated[float, Meta(ge=0.0, le=1.0)]
Count = Annotated[int, Meta(ge=0)]
PositiveCount = Annotated[int, Meta(ge=1)]
DurationS = Annotated[float, Meta(gt=0.0)]

ALL_VERSIONS = "*"


class Allowance(SettingsStruct):
    """Versions of one model that a customer may use.

    Parameters
    ----------
    model : str
        Name of the model.
    versions : list of str, default=["*"]
        Names of versions; ``*`` allows every version of the model.
    """

    model: Name
    versions: list[str] = field(default_factory=lambda: [ALL_VERSIONS])


class CustomerSettings(SettingsStruct):
    """A customer, what it may use and how much its work counts.

    Parameters
    ----------
    name : str
        Unique over all teams.
    token_sha256 : str
        Hexadecimal SHA-256 digest of the bearer token.
    cascade : str, default=""
        Cascade for requests to model ``auto``.
    allow : list of Allowance
        Models and versions.
    services : list of str
        Plain services.
    value_weight : float, default=1.0
        Work with a lower weight is shed first.
    rate_limit_per_s : float, default=100.0
        Requests per second at one router.
    """

    name: Name
    token_sha256: Annotated[str, Meta(pattern=r"^[0-9a-f]{64}$")]
    cascade: str = ""
    allow: list[Allowance] = field(default_factory=list)
    services: list[Name] = field(default_factory=list)
    value_weight: Annotated[float, Meta(gt=0.0)] = 1.0
    rate_limit_per_s: Annotated[float, Meta(gt=0.0)] = 100.0


class VersionSettings(SettingsStruct):
    """A version of a model; ``order_id`` names the weights in the weight store."""

    name: Name
    order_id: str = ""


class ModelSettings(SettingsStruct):
    """A model with its versions and prices.

    Parameters
    ----------
    name : str
        Unique within the team.
    versions : list of VersionSettings
        All versions that may be in use.
    stable_version : str
        Version that serves where no roll-out says otherwise.
    prompt_microunits_per_token : int, default=1
        Price of a prompt token.
    output_microunits_per_token : int, default=2
        Price of an output token.
    expected_quality : float, default=0.5
        Quality assumed before ratings arrive, between 0 and 1.
    """

    name: Name
    versions: Annotated[list[VersionSettings], Meta(min_length=1)]
    stable_version: Name
    prompt_microunits_per_token: Count = 1
    output_microunits_per_token: Count = 2
    expected_quality: Share = 0.5


class CascadeSettings(SettingsStruct):
    """Models from cheap to costly and the quality that their answers must reach."""

    name: Name
    models: Annotated[list[Name], Meta(min_length=1)]
    quality_target: Share = 0.8


class ServiceSettings(SettingsStruct):
    """A plain HTTP service.

    Parameters
    ----------
    name : str
        Unique over all teams.
    idempotent_methods : list of str, default=["GET", "HEAD", "PUT", "DELETE"]
        HTTP methods whose calls may be repeated.
    price_microunits : int, default=0
        Price of one call.
    """

    name: Name
    idempotent_methods: list[str] = field(
        default_factory=lambda: ["GET", "HEAD", "PUT", "DELETE"]
    )
    price_microunits: Count = 0


class EndpointSettings(SettingsStruct):
    """A server that runs requests.

    Parameters
    ----------
    endpoint_id : str
        Unique over all teams.
    url : str
        Base URL with an IP number.
    domain : str
        Failure domain it stands in.
    service : str, default=""
        Plain service it serves; empty for a model engine.
    models : list of str
        Models it serves; empty for a plain service.
    capacity_count : int, default=16
        Concurrent requests it carries when warm.
    cold_slot_count : int, default=2
        Concurrent requests it bears in cold start, over all routers.
    fencing : bool, default=False
        Whether it refuses orders with an old fencing token.
    """

    endpoint_id: Name
    url: Annotated[str, Meta(pattern=r"^https?://")]
    domain: Name
    service: str = ""
    models: list[Name] = field(default_factory=list)
    capacity_count: PositiveCount = 16
    cold_slot_count: PositiveCount = 2
    fencing: bool = False


class RolloutSettings(SettingsStruct):
    """A planned roll-out of a new version.

    Parameters
    ----------
    name : str
        Unique within the team.
    model : str
        Model whose version changes.
    to_version : str
        New version; it replaces the model's stable version.
    step_shares : list of float, default=[0.01, 0.05, 0.25, 1.0]
        Share of new sessions that get the new version, step by step.
    start_ratio : float, default=0.05
        First share of a step, relative to the step's share; it grows on ratings.
    step_min_s : float, default=30.0
        Least time per step.
    step_min_ratings : int, default=20
        Least ratings of the new version per step.
    quality_drop : float, default=0.05
        Drop in mean rating that counts as bad.
    error_rise : float, default=0.02
        Rise in the error rate that counts as bad.
    paused : bool, default=False
        Whether the roll-out is held at its step.
    """

    name: Name
    model: Name
    to_version: Name
    step_shares: Annotated[list[Share], Meta(min_length=1)] = field(
        default_factory=lambda: [0.01, 0.05, 0.25, 1.0]
    )
    start_ratio: Annotated[float, Meta(gt=0.0, le=1.0)] = 0.05
    step_min_s: DurationS = 30.0
    step_min_ratings: Count = 20
    quality_drop: Annotated[float, Meta(gt=0.0, lt=1.0)] = 0.05
    error_rise: Annotated[float, Meta(gt=0.0, lt=1.0)] = 0.02
    paused: bool = False


class TeamSettings(SettingsStruct):
    """The subtree of one team, applied as one object."""

    team: Name
    customers: list[CustomerSettings] = field(default_factory=list)
    models: list[ModelSettings] = field(default_factory=list)
    cascades: list[CascadeSettings] = field(default_factory=list)
    services: list[ServiceSettings] = field(default_factory=list)
    endpoints: list[EndpointSettings] = field(default_factory=list)
    rollouts: list[RolloutSettings] = field(default_factory=list)


DomainState = Literal["in", "out"]

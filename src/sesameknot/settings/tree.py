"""Settings tree of the operators, with one subtree per team."""

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
    """Versions of a model that a customer may use.

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
    """A customer with its permissions, rate limit and weight in load shedding.

    Parameters
    ----------
    name : str
        Name, unique over all teams.
    token_sha256 : str
        Hexadecimal SHA-256 digest of the customer's bearer token.
    cascade : str, default=""
        Cascade that serves requests for model ``auto``.
    allow : list of Allowance
        Models and versions that the customer may use.
    services : list of str
        Plain HTTP services that the customer may call.
    value_weight : float, default=1.0
        Value of its requests; those with a lower weight are shed first.
    rate_limit_per_s : float, default=100.0
        Limit on requests per second at each router.
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
        Name, unique within the team.
    versions : list of VersionSettings
        All versions that endpoints may serve.
    stable_version : str
        Version that serves all sessions that no roll-out assigns to another one.
    prompt_microunits_per_token : int, default=1
        Price of a prompt token.
    output_microunits_per_token : int, default=2
        Price of an output token.
    expected_quality : float, default=0.5
        Quality assumed until there are ratings, between 0 and 1.
    """

    name: Name
    versions: Annotated[list[VersionSettings], Meta(min_length=1)]
    stable_version: Name
    prompt_microunits_per_token: Count = 1
    output_microunits_per_token: Count = 2
    expected_quality: Share = 0.5


class CascadeSettings(SettingsStruct):
    """Models from the cheapest to the costliest and the quality target of answers."""

    name: Name
    models: Annotated[list[Name], Meta(min_length=1)]
    quality_target: Share = 0.8


class ServiceSettings(SettingsStruct):
    """A plain HTTP service.

    Parameters
    ----------
    name : str
        Name, unique over all teams.
    idempotent_methods : list of str, default=["GET", "HEAD", "PUT", "DELETE"]
        HTTP methods whose calls may be retried.
    price_microunits : int, default=0
        Price of one call.
    """

    name: Name
    idempotent_methods: list[str] = field(
        default_factory=lambda: ["GET", "HEAD", "PUT", "DELETE"]
    )
    price_microunits: Count = 0


class EndpointSettings(SettingsStruct):
    """A server that runs requests of a plain service or of models.

    Parameters
    ----------
    endpoint_id : str
        Identifier, unique over all teams.
    url : str
        Base URL with an IP address.
    domain : str
        Failure domain of the endpoint.
    service : str, default=""
        Plain service it serves; empty for a model engine.
    models : list of str
        Models it serves; empty for a plain service.
    capacity_count : int, default=16
        Limit on concurrent requests when it is warm.
    cold_slot_count : int, default=2
        Limit on concurrent requests of all routers while it is cold.
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
        Name, unique within the team.
    model : str
        Model whose version changes.
    to_version : str
        Version that replaces the model's stable version.
    step_shares : list of float, default=[0.01, 0.05, 0.25, 1.0]
        Share of new sessions that use the new version at each step.
    start_ratio : float, default=0.05
        Initial share of a step relative to its share in ``step_shares``; it is raised
        as ratings arrive.
    step_min_s : float, default=30.0
        Minimum duration of a step.
    step_min_ratings : int, default=20
        Minimum number of ratings of the new version per step.
    quality_drop : float, default=0.05
        Drop in the mean rating that counts as a regression.
    error_rise : float, default=0.02
        Rise in the error rate that counts as a regression.
    paused : bool, default=False
        Whether the roll-out stays at its current step.
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
    """Settings of one team, stored as one platform object."""

    team: Name
    customers: list[CustomerSettings] = field(default_factory=list)
    models: list[ModelSettings] = field(default_factory=list)
    cascades: list[CascadeSettings] = field(default_factory=list)
    services: list[ServiceSettings] = field(default_factory=list)
    endpoints: list[EndpointSettings] = field(default_factory=list)
    rollouts: list[RolloutSettings] = field(default_factory=list)


DomainState = Literal["in", "out"]

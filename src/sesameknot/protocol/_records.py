"""Records nested in several messages."""

from dataclasses import dataclass, field


@dataclass(slots=True, kw_only=True)
class MemberInfo:
    """Membership entry of a host; the highest (incarnation, sequence) is the newest."""

    host_id: str = ""
    address: str = ""
    http_address: str = ""
    region: str = ""
    domain: str = ""
    incarnation: int = 0
    sequence: int = 0
    state: str = ""


@dataclass(slots=True, kw_only=True)
class ObjectRecord:
    """A platform object at one version; ``value`` is JSON.

    ``era`` counts how often the platform's store came back from a copy.
    """

    key: str = ""
    version: int = 0
    value: bytes = b""
    deleted: bool = False
    write_id: str = ""
    era: int = 0


@dataclass(slots=True, kw_only=True)
class ObjectVersion:
    """Version of an object, or revision of a kind, at a host.

    Versions can be compared only within an ``era``, since they are given out again
    after the platform's store came back from a copy.
    """

    key: str = ""
    version: int = 0
    era: int = 0


@dataclass(slots=True, kw_only=True)
class ClaimEntry:
    """A register of a claim table."""

    table: str = ""
    key: str = ""
    claimant: str = ""
    state: str = ""
    value: bytes = b""
    age_ms: int = 0


@dataclass(slots=True, kw_only=True)
class EndpointReport:
    """Load and state of an endpoint; ``state`` is cold, warm, leaving or down.

    ``prefix_hashes`` is empty if the receiver already has the hashes that match
    ``prefix_digest``.
    """

    endpoint_id: str = ""
    state: str = ""
    running_count: int = 0
    queued_count: int = 0
    capacity_count: int = 0
    versions: list[str] = field(default_factory=list)
    prefix_hashes: list[int] = field(default_factory=list)
    age_ms: int = 0
    sequence: int = 0
    prefix_digest: int = 0


@dataclass(slots=True, kw_only=True)
class BillRecord:
    """Bill of a request; ``outcome`` is answered or unknown."""

    bill_id: str = ""
    request_id: str = ""
    customer: str = ""
    service: str = ""
    model: str = ""
    version: str = ""
    endpoint_id: str = ""
    prompt_tokens: int = 0
    output_tokens: int = 0
    cost_microunits: int = 0
    outcome: str = ""
    wall_ms: int = 0


@dataclass(slots=True, kw_only=True)
class VersionStats:
    """Counters of a model version since the router started.

    ``route`` is empty for those of all routes together.
    """

    team: str = ""
    model: str = ""
    version: str = ""
    request_count: int = 0
    error_count: int = 0
    rating_count: int = 0
    rating_sum: float = 0.0
    rating_square_sum: float = 0.0
    caller_count: int = 0
    cost_microunits: int = 0
    first_token_ms_sum: float = 0.0
    first_token_count: int = 0
    route: str = ""
    slow_count: int = 0


@dataclass(slots=True, kw_only=True)
class CrashTiming:
    """Crash of one endpoint.

    ``run_ms`` is the time from the start of the run until its end was seen, negative if
    it is not known; ``answered`` whether the request was answered soundly after it.
    """

    age_ms: int = 0
    run_ms: int = -1
    answered: bool = False


@dataclass(slots=True, kw_only=True)
class CrashCount:
    """Endpoints that crashed on requests with the same fingerprint.

    ``answered_age_ms`` is the time since such a request was answered without a crash;
    negative if none was. ``timings`` belong to ``endpoint_ids``, in their order; there
    are none from older builds, and if nothing but the last crash is known.
    """

    fingerprint: int = 0
    endpoint_ids: list[str] = field(default_factory=list)
    age_ms: int = 0
    answered_age_ms: int = -1
    timings: list[CrashTiming] = field(default_factory=list)


@dataclass(slots=True, kw_only=True)
class PaceCount:
    """Number of streams with about the same mean time between events.

    ``level`` is its logarithm, see :mod:`sesameknot.policy.stream_pace`.
    """

    service: str = ""
    version: str = ""
    model: str = ""
    level: int = 0
    stream_count: int = 0


@dataclass(slots=True, kw_only=True)
class OrderAge:
    """Time since a host first received a roll-out order."""

    service: str = ""
    target_version: str = ""
    age_ms: float = 0.0


@dataclass(slots=True, kw_only=True)
class EndpointLoads:
    """Requests in flight and unprocessed prompt tokens at endpoints, as columns.

    Every few messages hold the paces of endpoints too (``with_paces``), and the reply
    to such a message as well. ``pace_keys`` are those of incarnations; their means are
    in thousandths of the natural logarithm, their counts in tenths.
    """

    endpoint_ids: list[str] = field(default_factory=list)
    in_flight_counts: list[int] = field(default_factory=list)
    pending_tokens: list[int] = field(default_factory=list)
    pace_keys: list[int] = field(default_factory=list)
    pace_log_means: list[int] = field(default_factory=list)
    pace_counts: list[int] = field(default_factory=list)
    with_paces: bool = False


@dataclass(slots=True, kw_only=True)
class EndpointOutageAges:
    """Time since endpoints were last down, by their incarnations, as columns."""

    incarnation_ids: list[str] = field(default_factory=list)
    ages_ms: list[int] = field(default_factory=list)

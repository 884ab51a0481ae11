"""Messages by which hosts share what an endpoint takes: request rate and slots."""

from dataclasses import dataclass

from sesameknot.protocol._message_registry import message


@message("endpointPermitRequest")
@dataclass(slots=True, kw_only=True)
class EndpointPermitRequest:
    """Request to send one request to an endpoint, or news of its limit.

    Parameters
    ----------
    incarnation_id : str
        Incarnation of the endpoint.
    limited : bool
        Whether the sender knows of a limit that has not ended.
    rate_per_s : float
        The limit.
    age_ms : float
        Time since the sender learned of it.
    wanted : bool
        Whether a permit is requested; otherwise the message only carries the news.
    max_wait_ms : float
        Longest time that the request can wait until it is sent.
    """

    incarnation_id: str = ""
    limited: bool = False
    rate_per_s: float = 0.0
    age_ms: float = 0.0
    wanted: bool = False
    max_wait_ms: float = 0.0


@message("endpointPermitReply")
@dataclass(slots=True, kw_only=True)
class EndpointPermitReply:
    """Permit, or the time until one is likely, and the latest news of the limit.

    Parameters
    ----------
    limited, rate_per_s, age_ms
        Limit as the owner knows it, as in the request.
    granted : bool
        Whether the request may be sent, after ``wait_ms``.
    wait_ms : float
        Time until the request may be sent, or until it is worth asking again.
    """

    limited: bool = False
    rate_per_s: float = 0.0
    age_ms: float = 0.0
    granted: bool = False
    wait_ms: float = 0.0


@message("endpointSlotRequest")
@dataclass(slots=True, kw_only=True)
class EndpointSlotRequest:
    """Request for a slot of an endpoint that must not be asked in vain, or its release.

    Parameters
    ----------
    incarnation_id : str
        Incarnation of the endpoint.
    slot_count : int
        Slots of the endpoint.
    overload_limit_per_s : float
        Refusals per second beyond which the endpoint falls over.
    life_ms : float
        Time after which the slot is free again if it is not released.
    released_id : int
        Grant that ends; 0 to ask for one.
    refused : bool
        Whether the endpoint had no room in spite of the released grant.
    """

    incarnation_id: str = ""
    slot_count: int = 0
    overload_limit_per_s: float = 0.0
    life_ms: float = 0.0
    released_id: int = 0
    refused: bool = False


@message("endpointSlotReply")
@dataclass(slots=True, kw_only=True)
class EndpointSlotReply:
    """Grant of a slot, or the time until it is worth asking again.

    Parameters
    ----------
    grant_id : int
        Identifier of the grant; 0 if no slot is free.
    wait_ms : float
        Time until it is worth asking again.
    """

    grant_id: int = 0
    wait_ms: float = 0.0

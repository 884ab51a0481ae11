"""Which relays a host calls in each round of the exchange, counted from 0."""

# Rounds between two calls to the second relay while the first one is up to date. The
# second one must receive a host's load before the previous report expires.
BOTH_RELAYS_ROUND_COUNT = 3
# Rounds between two calls to the relays of other failure domains.
OTHER_DOMAINS_ROUND_COUNT = 2
# Paces of endpoints are sent in a multiple of so many rounds: in these, all relays are
# called.
ALL_RELAYS_ROUND_COUNT = BOTH_RELAYS_ROUND_COUNT * OTHER_DOMAINS_ROUND_COUNT


def calls_both_relays(round_count: int) -> bool:
    """Return whether a host calls both relays of its failure domain."""
    return round_count % BOTH_RELAYS_ROUND_COUNT == 0


def calls_other_domains(round_count: int) -> bool:
    """Return whether a relay calls those of the other failure domains."""
    return round_count % OTHER_DOMAINS_ROUND_COUNT == 0


def pace_turn(round_count: int) -> int | None:
    """Return the number of the round among those that call all relays, else None."""
    turn_count, remainder = divmod(round_count, ALL_RELAYS_ROUND_COUNT)
    return None if remainder else turn_count

"""Which hosts of a failure domain relay the store's changes to the others."""

from sesameknot.policy.rendezvous import rendezvous_order
from sesameknot.state.fleet_view import FleetView

RELAY_COUNT = 2
# Hosts of a failure domain that are called while none of its relays answers.
SUBSTITUTE_LIMIT_COUNT = 8


class RelayOrder:
    """Order of the hosts of each failure domain, the first of which are its relays.

    All hosts compute the same order, from which they leave out the hosts that are lost.

    Parameters
    ----------
    view : FleetView
        Listed hosts and which of them are lost.
    host_id, domain : str
        Name of this host and its failure domain.
    """

    __slots__ = ("_domain", "_host_id", "_view")

    def __init__(self, *, view: FleetView, host_id: str, domain: str) -> None:
        self._view = view
        self._host_id = host_id
        self._domain = domain

    def hosts(self, domain: str) -> list[str]:
        """Return the listed hosts of a failure domain, also those that are lost."""
        return [h.host_id for h in self._view.hosts.values() if h.domain == domain]

    def relays(self, domain: str) -> list[str]:
        """Return the relays of a failure domain.

        If all of its hosts are lost, these are the ones to be called again first.
        """
        return self._order(domain)[:RELAY_COUNT]

    @property
    def own_relays(self) -> list[str]:
        """Relays of this host's failure domain."""
        return self.relays(self._domain)

    @property
    def is_relay(self) -> bool:
        """Whether this host is a relay."""
        return self._host_id in self.own_relays

    @property
    def is_first_relay(self) -> bool:
        """Whether this host is the first relay of its failure domain."""
        return self.own_relays[:1] == [self._host_id]

    def substitutes(self) -> list[str]:
        """Return the hosts to call besides the own relays, if none of these answers.

        The hosts may not agree yet that the relays are lost.
        """
        relays = self.own_relays
        if not all(self._view.liveness.is_silent(relay) for relay in relays):
            return []
        answering = self._up_to_answering(self._domain, RELAY_COUNT)
        return [h for h in answering if h not in (*relays, self._host_id)]

    def contacts_in_other_domains(self) -> list[str]:
        """Return the hosts of other failure domains that a relay calls.

        It is the first relay of each, with those after it while that is silent.
        """
        domains = {host.domain for host in self._view.hosts.values()} - {self._domain}
        return [
            host_id
            for domain in sorted(domains)
            for host_id in self._up_to_answering(domain, 1)
        ]

    def _order(self, domain: str) -> list[str]:
        hosts = self.hosts(domain)
        live_hosts = [h for h in hosts if not self._view.liveness.is_lost(h)]
        return rendezvous_order(f"relay {domain}", live_hosts or hosts)

    def _up_to_answering(self, domain: str, count: int) -> list[str]:
        """Return the first hosts, up to the ``count``-th that is not silent."""
        hosts = []
        for host_id in self._order(domain)[:SUBSTITUTE_LIMIT_COUNT]:
            hosts.append(host_id)
            count -= not self._view.liveness.is_silent(host_id)
            if count <= 0:
                break
        return hosts

"""Pass reports of outages on to other hosts at once, beside the regular exchange.

An endpoint that went down may be back in less time than the regular exchange takes to
reach all hosts. A host that finds an outage reports it to the relays of its failure
domain, and relays pass it on to all other relays and to the hosts that they serve.
These messages carry nothing else, so that a crash of many endpoints costs the relays
little.
"""

import asyncio

from sesameknot.coordination.host_calls import HostCalls
from sesameknot.coordination.relay_order import RelayOrder
from sesameknot.coordination.shared_findings import SharedFindings
from sesameknot.policy.rendezvous import rendezvous_order
from sesameknot.protocol.messages import DomainSync, DomainSyncReply
from sesameknot.state.fleet_view import FleetView

# Reports that come within this time are passed on together.
GATHER_S = 0.05
CALL_TIMEOUT_S = 0.3


class OutageSpread:
    """Task that passes on reports of outages.

    Parameters
    ----------
    view : FleetView
        Hosts.
    findings : SharedFindings
        Outages that this host knows of.
    calls : HostCalls
        Calls other hosts.
    host_id, domain : str
        Name of this host and its failure domain.
    order : RelayOrder
        Tells which hosts are relays.
    """

    __slots__ = (
        "_calls",
        "_domain",
        "_findings",
        "_host_id",
        "_new_report",
        "_order",
        "_view",
    )

    def __init__(
        self,
        *,
        view: FleetView,
        findings: SharedFindings,
        calls: HostCalls,
        host_id: str,
        domain: str,
        order: RelayOrder,
    ) -> None:
        self._view = view
        self._findings = findings
        self._calls = calls
        self._host_id = host_id
        self._domain = domain
        self._order = order
        self._new_report = asyncio.Event()

    def pass_on(self) -> None:
        """Pass on what this host knows soon, because there is a new report."""
        self._new_report.set()

    async def run(self) -> None:
        """Pass on reports until cancelled."""
        while True:
            await self._new_report.wait()
            await asyncio.sleep(GATHER_S)
            self._new_report.clear()
            message = DomainSync(host_id=self._host_id, outages_only=True)
            message.outages = self._findings.outage_ages()
            await asyncio.gather(
                *(self._send(host_id, message) for host_id in self._targets())
            )

    def _targets(self) -> list[str]:
        """Return the hosts that this one passes reports on to."""
        relays = self._order.own_relays
        if self._host_id not in relays:
            return relays
        hosts = self._view.live_hosts.values()
        domains = {host.domain for host in hosts}
        all_relays = [
            relay for domain in domains for relay in self._order.relays(domain)
        ]
        served_hosts = [
            host.host_id
            for host in hosts
            if host.domain == self._domain
            and host.host_id not in relays
            and rendezvous_order(host.host_id, relays)[0] == self._host_id
        ]
        return [h for h in (*all_relays, *served_hosts) if h != self._host_id]

    async def _send(self, host_id: str, message: DomainSync) -> None:
        # Without an answer, the regular exchange carries the report as well.
        await self._calls.call(
            host_id, message, expect=DomainSyncReply, timeout_s=CALL_TIMEOUT_S
        )

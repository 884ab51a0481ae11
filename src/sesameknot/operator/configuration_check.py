"""Checks of a front configuration before it is sent; pure decisions."""

import math
import re
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from enum import StrEnum

from sesameknot.forwarding.stream import MAX_WAIT_SHARE
from sesameknot.platform import ReadConfiguration, ValueFault
from sesameknot.protocol.configuration import RequestKind, Route, ServiceConfiguration
from sesameknot.registry import Registry
from sesameknot.settings.front import AttemptSettings

# Endpoints are told priorities from 0 to this one.
PRIORITY_MAX = 9


class Severity(StrEnum):
    """Whether a configuration with the finding must not be sent."""

    ERROR = "error"
    WARNING = "warning"


@dataclass(slots=True, frozen=True)
class Finding:
    """Something wrong in a configuration.

    Parameters
    ----------
    severity : Severity
        Whether the configuration must not be sent.
    check : str
        Name of the check.
    path, given, expected : str
        Path of the value, the value and what was expected instead.
    """

    severity: Severity
    check: str
    path: str
    given: str
    expected: str

    def text(self) -> str:
        """Return the finding for operators."""
        return (
            f"{self.severity}: {self.path}: got {self.given}, expected "
            f"{self.expected} [{self.check}]"
        )


@dataclass(slots=True, frozen=True)
class CheckedConfiguration:
    """A configuration with the settings of the front processes that will serve it."""

    read: ReadConfiguration
    attempts: AttemptSettings


CheckResult = tuple[Severity, ValueFault]
Check = Callable[[CheckedConfiguration], Iterator[CheckResult]]
CHECKS: Registry[Check] = Registry("configuration check")


def check_configuration(
    read: ReadConfiguration, attempts: AttemptSettings | None = None
) -> list[Finding]:
    """Return all findings, errors first, by path.

    Parameters
    ----------
    read : ReadConfiguration
        The configuration as far as it can be read.
    attempts : AttemptSettings or None, default=None
        Time-outs of the front processes; the defaults if None.
    """
    checked = CheckedConfiguration(read, attempts or AttemptSettings())
    findings = [
        Finding(severity, name, fault.path, fault.given, fault.expected)
        for name in CHECKS
        for severity, fault in CHECKS.get(name)(checked)
    ]
    return sorted(findings, key=_order)


def _order(finding: Finding) -> tuple[bool, list[tuple[bool, int, str]]]:
    """Return a key that orders by severity, then by path with indexes as numbers."""
    parts = re.findall(r"\d+|\D+", finding.path)
    return finding.severity is Severity.WARNING, [
        (part.isdecimal(), int(part) if part.isdecimal() else 0, part) for part in parts
    ]


def _error(path: str, given: object, expected: str) -> CheckResult:
    return Severity.ERROR, ValueFault(path, str(given), expected)


def _warning(path: str, given: object, expected: str) -> CheckResult:
    return Severity.WARNING, ValueFault(path, str(given), expected)


@CHECKS.register("value")
def _check_values(checked: CheckedConfiguration) -> Iterator[CheckResult]:
    for fault in checked.read.faults:
        yield Severity.ERROR, fault


@CHECKS.register("passed-over")
def _check_passed_over(checked: CheckedConfiguration) -> Iterator[CheckResult]:
    for fault in checked.read.passed_over:
        yield Severity.WARNING, fault


@CHECKS.register("range")
def _check_ranges(checked: CheckedConfiguration) -> Iterator[CheckResult]:
    read = checked.read
    for index, route in read.routes.items():
        for name in ("timeout_ms", "latency_target_ms", "attempt_limit_count"):
            value = getattr(route, name)
            if value < 1:
                yield _error(read.route_path(index, name), value, "at least 1")
        if route.event_gap_ms < 0:
            path = read.route_path(index, "event_gap_ms")
            yield _error(path, route.event_gap_ms, "at least 0")
        if not 0 <= route.priority <= PRIORITY_MAX:
            path = read.route_path(index, "priority")
            yield _error(path, route.priority, f"0 to {PRIORITY_MAX}")
    for index, service in read.services.items():
        for name in ("cold_s", "cold_rate_per_s", "slot_count"):
            value = getattr(service, name)
            if not 0 <= value < math.inf:
                yield _error(read.service_path(index, name), value, "at least 0")
    for index, customer in read.customers.items():
        if customer.priority is None or 0 <= customer.priority <= PRIORITY_MAX:
            continue
        path = read.customer_path(index, "priority")
        yield _error(path, customer.priority, f"0 to {PRIORITY_MAX}")
    if read.limits is not None:
        for name in ("header_bytes", "body_bytes", "idle_timeout_s"):
            value = getattr(read.limits, name)
            if value <= 0:
                yield _error(read.limits_path(name), value, "more than 0")


@CHECKS.register("unmatched-route")
def _check_unmatched_routes(checked: CheckedConfiguration) -> Iterator[CheckResult]:
    """Check for routes that no request can match."""
    read = checked.read
    if not read.routes and read.complete("Routes"):
        yield _warning("$.Routes", "none", "at least one route")
    last_index = {
        (route.host.lower(), route.path_prefix): index
        for index, route in read.routes.items()
    }
    for index, route in read.routes.items():
        name, _, port = route.host.rpartition(":")
        if (
            not route.host
            or route.host.split() != [route.host]
            or (name and port.isdigit())
        ):
            path = read.route_path(index, "host")
            yield _error(path, repr(route.host), "a host name without a port")
        prefix = route.path_prefix
        if not prefix.startswith("/") or not prefix.endswith("/"):
            path = read.route_path(index, "path_prefix")
            yield _error(path, repr(prefix), "a path that begins and ends with /")
        last = last_index[route.host.lower(), prefix]
        if last != index:
            given = f"{route.host}{prefix}, which {read.route_path(last)} has as well"
            path = read.route_path(index, "path_prefix")
            yield _error(path, given, "another host or prefix, as this route is hidden")


@CHECKS.register("route-services")
def _check_route_services(checked: CheckedConfiguration) -> Iterator[CheckResult]:
    """Check that each route has services that exist and get requests."""
    read = checked.read
    services = {service.name: service for service in read.services.values()}
    complete = read.complete("Services")
    if complete and not services and read.routes:
        yield _warning("$.Services", "none", "the services that the routes name")
    for index, route in read.routes.items():
        weights = [share.weight for share in route.services]
        if all(weight == 0.0 for weight in weights):
            path = read.route_path(index)
            yield _error(path, "only services of weight 0", "a weight above 0")
            weights = []
        for share_index, weight in enumerate(weights):
            path = read.share_path(index, share_index)
            if not 0.0 <= weight < math.inf:
                yield _error(f"{path}.Weight", weight, "at least 0")
            elif weight == 0.0:
                yield _warning(f"{path}.Weight", weight, "more than 0, or no entry")
        for share_index, share in enumerate(route.services):
            service = services.get(share.service)
            path = read.share_path(index, share_index)
            if service is not None:
                yield from _check_models(read, index, route, service)
            elif not share.service or (complete and services):
                known = ", ".join(sorted(services)) or "(none)"
                yield _error(path, f"service {share.service!r}", f"one of: {known}")


def _check_models(
    read: ReadConfiguration, index: int, route: Route, service: ServiceConfiguration
) -> Iterator[CheckResult]:
    for model in route.models:
        if service.model_costs and model not in service.model_costs:
            path = read.route_path(index, "models")
            known = ", ".join(sorted(service.model_costs))
            yield _error(path, repr(model), f"models of {service.name!r}: {known}")


@CHECKS.register("unused-service")
def _check_unused_services(checked: CheckedConfiguration) -> Iterator[CheckResult]:
    read = checked.read
    used = {share.service for route in read.routes.values() for share in route.services}
    last_index = {service.name: index for index, service in read.services.items()}
    for index, service in read.services.items():
        last = last_index[service.name]
        if last != index:
            given = f"{service.name!r}, which {read.service_path(last)} has as well"
            yield _error(read.service_path(index, "name"), given, "a unique name")
        elif service.name not in used and read.complete("Routes"):
            path = read.service_path(index)
            yield _warning(path, repr(service.name), "a service that a route uses")


@CHECKS.register("customers")
def _check_customers(checked: CheckedConfiguration) -> Iterator[CheckResult]:
    """Check names and keys of customers; a key is never part of a finding."""
    read = checked.read
    protected = any(not route.public for route in read.routes.values())
    if protected and not read.customers and read.complete("Tenants"):
        given = "none, so that requests need no key"
        yield _warning("$.Tenants", given, "customers, or public routes only")
    first_index: dict[str, int] = {}
    index_by_name: dict[str, int] = {}
    for index, customer in read.customers.items():
        if not customer.keys:
            path = read.customer_path(index, "keys")
            yield _warning(path, f"none for {customer.name!r}", "at least one key")
        other = index_by_name.setdefault(customer.name, index)
        if other != index:
            given = f"{customer.name!r}, which {read.customer_path(other)} has as well"
            yield _warning(read.customer_path(index, "name"), given, "a unique name")
        for key_index, key in enumerate(customer.keys):
            path = f"{read.customer_path(index, 'keys')}[{key_index}]"
            if not key or key != key.strip():
                given = "an empty key or one with blanks around it"
                yield _warning(path, given, "a key that a request can have")
            first = first_index.setdefault(key, index)
            if first != index:
                given = f"a key that {read.customer_path(first)} holds as well"
                yield _error(path, given, "a key of one customer")


@CHECKS.register("times")
def _check_times(checked: CheckedConfiguration) -> Iterator[CheckResult]:
    """Check the time targets of routes against their time-outs."""
    read = checked.read
    for index, route in read.routes.items():
        for name in ("latency_target_ms", "event_gap_ms"):
            value = getattr(route, name)
            if value > route.timeout_ms > 0:
                expected = f"at most TimeoutMs, {route.timeout_ms}"
                yield _warning(read.route_path(index, name), value, expected)
        if route.event_gap_ms and route.kind is not RequestKind.STREAM:
            path = read.route_path(index, "event_gap_ms")
            yield _warning(path, route.event_gap_ms, "0, as no events are streamed")


@CHECKS.register("attempts")
def _check_attempts(checked: CheckedConfiguration) -> Iterator[CheckResult]:
    """Check limits on attempts against what a route allows and has time for."""
    read = checked.read
    for index, route in read.routes.items():
        limit_count = route.attempt_limit_count
        path = read.route_path(index, "attempt_limit_count")
        cascades = route.kind is RequestKind.STREAM and len(route.models) > 1
        if cascades and limit_count == 1:
            yield _warning(path, 1, "at least 2, or a larger model is never asked")
        if limit_count < 2 or cascades:
            # The attempts of a cascade also ask the larger models.
            continue
        if not route.repeatable:
            reason = "the route is not resumable"
            if route.kind is RequestKind.AT_MOST_ONCE:
                reason = "requests may run once"
            yield _warning(path, limit_count, f"1, as {reason}")
            continue
        count = _attempt_count(route, checked.attempts)
        if count < limit_count:
            expected = f"at most {count}, as TimeoutMs has no time for more"
            yield _warning(path, limit_count, expected)


def _attempt_count(route: Route, attempts: AttemptSettings) -> int:
    """Return how many silent endpoints can be asked in turn within the time-out."""
    left_s = route.timeout_ms / 1000.0
    streamed = route.kind is RequestKind.STREAM
    factor = attempts.first_event_factor if streamed else attempts.plain_answer_factor
    limit_s = factor * route.latency_target_ms / 1000.0
    share = MAX_WAIT_SHARE if streamed else 1.0
    for count in range(1, route.attempt_limit_count):
        left_s -= min(limit_s, share * left_s)
        if left_s < attempts.connect_timeout_s:
            return count
    return route.attempt_limit_count

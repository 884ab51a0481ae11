"""Reading of a configuration object with the paths of all that is wrong in it.

A front process rejects a configuration at its first fault, and passes over fields that
it does not know. A check before the configuration is sent reports them.
"""

import difflib
import re
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any

import msgspec

from sesameknot.platform import _objects
from sesameknot.platform._struct_faults import (
    ValueFault,
    given_text,
    struct_faults,
)
from sesameknot.protocol.configuration import (
    CallerLimits,
    Customer,
    Route,
    ServiceConfiguration,
)

# Wire names of the records' fields, where a check names one.
_FIELD_NAMES = {
    "attempt_limit_count": "MaxAttempts",
    "body_bytes": "MaxBodyBytes",
    "cold_rate_per_s": "ColdPerS",
    "cold_s": "ColdS",
    "event_gap_ms": "GapTargetMs",
    "header_bytes": "MaxHeaderBytes",
    "host": "Host",
    "idle_timeout_s": "IdleTimeoutMs",
    "keys": "ApiKeys",
    "kind": "Kind",
    "latency_target_ms": "TargetLatencyMs",
    "models": "Sizes",
    "name": "Name",
    "path_prefix": "PathPrefix",
    "priority": "Priority",
    "public": "Public",
    "resumable": "Resumable",
    "slot_count": "Engine.Slots",
    "timeout_ms": "TimeoutMs",
}
SECTIONS = ("Routes", "Services", "Tenants")
# Below this similarity, a field that is not read is no misspelt one.
_SIMILARITY = 0.85
# Values below it may be API keys, which must not be shown.
_SECRET_PATH = "$.Tenants"
_SHOWN_IN_SECRET = re.compile(r"\.Priority$")
_PATH_SEPARATOR = re.compile(r"[.\[]")
HIDDEN_TEXT = "(not shown)"


@dataclass(slots=True)
class ReadConfiguration:
    """The readable records of a configuration by their index, and what is wrong.

    Parameters
    ----------
    version : int or None
        Version; None if it cannot be read.
    routes, services, customers : dict of int to record
        Records by their index in the object.
    limits : CallerLimits or None
        Limits; None if they cannot be read.
    faults : list of ValueFault
        Values because of which front processes reject the configuration.
    passed_over : list of ValueFault
        Values that front processes pass over, although they look meant for them.
    unread_fields : list of str
        Other fields that front processes do not read.
    effective : dict
        The readable records by section and index as JSON values, with all defaults;
        empty if the value is no object.
    """

    version: int | None = None
    routes: dict[int, Route] = field(default_factory=dict)
    services: dict[int, ServiceConfiguration] = field(default_factory=dict)
    customers: dict[int, Customer] = field(default_factory=dict)
    limits: CallerLimits | None = None
    faults: list[ValueFault] = field(default_factory=list)
    passed_over: list[ValueFault] = field(default_factory=list)
    unread_fields: list[str] = field(default_factory=list)
    effective: dict[str, Any] = field(default_factory=dict)
    _faulty_paths: set[str] = field(default_factory=set)

    def add_fault(self, fault: ValueFault) -> None:
        """Add a fault, because of which the records around the value are left out."""
        self.faults.append(fault)
        self._faulty_paths.add(fault.path)
        for match in _PATH_SEPARATOR.finditer(fault.path):
            self._faulty_paths.add(fault.path[: match.start()])

    def readable(self, path: str) -> bool:
        """Return whether there is no fault at or below ``path``."""
        return path not in self._faulty_paths

    def complete(self, section: str) -> bool:
        """Return whether all records of a section, such as ``Routes``, can be read."""
        return bool(self.effective) and self.readable(f"$.{section}")

    def route_path(self, index: int, field_name: str = "") -> str:
        """Return the path of a route or of one of its fields."""
        return _path(f"$.Routes[{index}]", field_name)

    def share_path(self, index: int, share_index: int) -> str:
        """Return the path of one of the services of a route."""
        if self.effective["Routes"][index]["TrafficSplit"]:
            return f"$.Routes[{index}].TrafficSplit[{share_index}]"
        return f"$.Routes[{index}].Service"

    def service_path(self, index: int, field_name: str = "") -> str:
        """Return the path of a service or of one of its fields."""
        return _path(f"$.Services[{index}]", field_name)

    def customer_path(self, index: int, field_name: str = "") -> str:
        """Return the path of a customer or of one of its fields."""
        return _path(f"$.Tenants[{index}]", field_name)

    def limits_path(self, field_name: str) -> str:
        """Return the path of a limit."""
        return _path("$.Limits", field_name)


def _path(record_path: str, field_name: str) -> str:
    return f"{record_path}.{_FIELD_NAMES[field_name]}" if field_name else record_path


def read_configuration(spec: Any) -> ReadConfiguration:
    """Return what can be read of the ``Spec`` of a configuration object.

    It has no faults exactly if front processes decode the object.
    """
    read = ReadConfiguration()
    for fault in struct_faults(spec, _objects._Configuration, "$"):
        read.add_fault(_without_secret(fault))
    if not isinstance(spec, dict):
        return read
    read.effective = {section: {} for section in SECTIONS}
    if "Version" in spec and read.readable("$.Version"):
        read.version = read.effective["Version"] = int(spec["Version"])
    _read_routes(read, spec)
    _read_services(read, spec)
    for index, tenant in _records(read, spec, "Tenants", _objects._Tenant):
        read.customers[index] = _objects._decode_customer(tenant)
    if read.readable("$.Limits"):
        limits = msgspec.convert(spec.get("Limits", {}), _objects._Limits)
        read.limits = _objects._decode_limits(limits)
        read.effective["Limits"] = msgspec.to_builtins(limits)
    _note_unknown_fields(read, spec)
    return read


def _read_routes(read: ReadConfiguration, spec: dict[str, Any]) -> None:
    kinds = sorted(_objects.REQUEST_KINDS)
    for index, route in _records(read, spec, "Routes", _objects._Route):
        if route.kind not in kinds:
            path, given = f"$.Routes[{index}].Kind", given_text(route.kind)
            read.add_fault(ValueFault(path, given, "one of " + ", ".join(kinds)))
            continue
        read.routes[index] = _objects._decode_route(route)
        if route.service and route.traffic_split:
            path, given = f"$.Routes[{index}].Service", given_text(route.service)
            read.passed_over.append(ValueFault(path, given, "none beside TrafficSplit"))


def _read_services(read: ReadConfiguration, spec: dict[str, Any]) -> None:
    for index, service in _records(read, spec, "Services", _objects._Service):
        read.services[index] = _objects._decode_service(service)
        models = service.engine.models if service.engine else []
        for name, count in Counter(model.name for model in models).items():
            if count > 1:
                path = f"$.Services[{index}].Engine.Models"
                given = f"{count} with Name {given_text(name)}"
                read.passed_over.append(ValueFault(path, given, "unique names"))


def _note_unknown_fields(read: ReadConfiguration, spec: dict[str, Any]) -> None:
    unread: set[str] = set()
    for path, name, absent in _unknown_fields(spec, _objects._Configuration, "$"):
        similar = difflib.get_close_matches(name, absent, n=1, cutoff=_SIMILARITY)
        if similar:
            fault = ValueFault(f"{path}.{name}", given_text(name), similar[0])
            read.passed_over.append(fault)
        elif not path.startswith(_SECRET_PATH):
            unread.add(re.sub(r"\[\d+\]", "", f"{path}.{name}"))
    read.unread_fields = sorted(unread)


def _records(
    read: ReadConfiguration,
    spec: dict[str, Any],
    section: str,
    struct_type: type[msgspec.Struct],
) -> Iterator[tuple[int, Any]]:
    """Yield the records of a section that can be read, with their index."""
    items = spec.get(section)
    for index, item in enumerate(items if isinstance(items, list) else []):
        if read.readable(f"$.{section}[{index}]"):
            record = msgspec.convert(item, struct_type)
            read.effective[section][index] = msgspec.to_builtins(record)
            yield index, record


def _without_secret(fault: ValueFault) -> ValueFault:
    hidden = fault.path.startswith(_SECRET_PATH)
    if not hidden or fault.given == "nothing" or _SHOWN_IN_SECRET.search(fault.path):
        return fault
    return ValueFault(fault.path, HIDDEN_TEXT, fault.expected)


def _unknown_fields(
    value: Any, value_type: Any, path: str
) -> Iterator[tuple[str, str, list[str]]]:
    """Yield path and name of unknown fields, and the fields that the record lacks."""
    if isinstance(value, list):
        for index, item in enumerate(value):
            yield from _unknown_fields(item, value_type, f"{path}[{index}]")
    if not isinstance(value, dict):
        return
    fields = {f.encode_name: f.type for f in msgspec.structs.fields(value_type)}
    absent = [name for name in fields if name not in value]
    for name, inner in value.items():
        if name not in fields:
            yield path, str(name), absent
        for inner_type in (fields.get(name), *_arguments(fields.get(name))):
            if isinstance(inner_type, type) and issubclass(inner_type, msgspec.Struct):
                yield from _unknown_fields(inner, inner_type, f"{path}.{name}")


def _arguments(value_type: Any) -> tuple[Any, ...]:
    return getattr(value_type, "__args__", ())

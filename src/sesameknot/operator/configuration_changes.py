"""Differences between two front configurations; API keys are counted, never shown."""

import copy
from typing import Any

from sesameknot.operator._diff import differences
from sesameknot.platform import ReadConfiguration

SECTIONS = ("Routes", "Services", "Tenants")


def configuration_changes(old: ReadConfiguration, new: ReadConfiguration) -> list[str]:
    """Return one line for each difference; defaults count as if they were written.

    Sections that cannot be read whole are left out.
    """
    old_value, new_value = _comparable(old), _comparable(new)
    for section in unread_sections(old, new):
        old_value[section] = new_value[section] = {}
    lines = []
    for name in sorted(old_value["Tenants"].keys() & new_value["Tenants"].keys()):
        old_keys = old_value["Tenants"][name].pop("ApiKeys")
        new_keys = new_value["Tenants"][name].pop("ApiKeys")
        added, removed = len(new_keys - old_keys), len(old_keys - new_keys)
        if added or removed:
            lines.append(
                f"~ $.Tenants.{name}.ApiKeys: {_count_text(old_keys)} -> "
                f"{_count_text(new_keys)} ({added} added, {removed} removed)"
            )
    for value in (old_value, new_value):
        for tenant in value["Tenants"].values():
            if "ApiKeys" in tenant:
                tenant["ApiKeys"] = _count_text(tenant["ApiKeys"])
    return [*differences(old_value, new_value), *lines]


def unread_sections(*configurations: ReadConfiguration) -> list[str]:
    """Return the sections that cannot be read whole in one of the configurations."""
    return [
        section
        for section in SECTIONS
        if not all(read.complete(section) for read in configurations)
    ]


def _comparable(read: ReadConfiguration) -> dict[str, Any]:
    """Return the effective values with records by name and keys as sets."""
    value = copy.deepcopy(read.effective)
    for section in SECTIONS:
        value[section] = _by_name(list(value.get(section, {}).values()), "Name")
    for route in value["Routes"].values():
        route["TrafficSplit"] = _by_name(route["TrafficSplit"], "Service")
    for service in value["Services"].values():
        engine = service["Engine"] or {"Slots": 0, "Models": []}
        engine["Models"] = _by_name(engine["Models"], "Name")
        service["Engine"] = engine
    for tenant in value["Tenants"].values():
        tenant["ApiKeys"] = frozenset(tenant["ApiKeys"])
    return value


def _by_name(records: list[dict[str, Any]], field: str) -> dict[str, Any]:
    """Return records by name; the second of a name is ``name#2``."""
    named: dict[str, Any] = {}
    counts: dict[str, int] = {}
    for record in records:
        name = record[field]
        counts[name] = counts.get(name, 0) + 1
        named[name if counts[name] == 1 else f"{name}#{counts[name]}"] = record
    return named


def _count_text(keys: frozenset[str]) -> str:
    return f"{len(keys)} key" if len(keys) == 1 else f"{len(keys)} keys"

"""Differences between two JSON values, by path."""

from typing import Any

NAME_FIELDS = ("name", "endpoint_id", "model")


def differences(old: Any, new: Any, path: str = "$") -> list[str]:
    """Return one line for each path that was added, removed or changed.

    Lists of named records are compared by name, so a moved record is no change.
    """
    if isinstance(old, dict) and isinstance(new, dict):
        return _fields(old, new, path, ".")
    if isinstance(old, list) and isinstance(new, list):
        named_old, named_new = _by_name(old), _by_name(new)
        if named_old is not None and named_new is not None:
            return _fields(named_old, named_new, path, "/")
    if old == new:
        return []
    return [f"~ {path}: {old!r} -> {new!r}"]


def _fields(
    old: dict[str, Any], new: dict[str, Any], path: str, separator: str
) -> list[str]:
    lines = []
    for name in [*old, *(name for name in new if name not in old)]:
        place = f"{path}{separator}{name}"
        if name not in new:
            lines.append(f"- {place}: {old[name]!r}")
        elif name not in old:
            lines.append(f"+ {place}: {new[name]!r}")
        else:
            lines.extend(differences(old[name], new[name], place))
    return lines


def _by_name(items: list[Any]) -> dict[str, Any] | None:
    named: dict[str, Any] = {}
    for item in items:
        if not isinstance(item, dict):
            return None
        name = next((item[f] for f in NAME_FIELDS if f in item), None)
        if name is None or name in named:
            return None
        named[name] = item
    return named

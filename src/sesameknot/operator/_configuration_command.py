"""Check of a front configuration in a file, also against the one in force."""

import dataclasses
from pathlib import Path
from typing import Any

import msgspec

from sesameknot.errors import PlatformError, RouterError, SettingsError
from sesameknot.operator.configuration_changes import (
    configuration_changes,
    unread_sections,
)
from sesameknot.operator.configuration_check import (
    Finding,
    Severity,
    check_configuration,
)
from sesameknot.operator.errors import UsageError
from sesameknot.operator.results import ExitCode, Report
from sesameknot.platform import (
    CONFIGURATION_KIND,
    ReadConfiguration,
    StoreClient,
    is_address,
    read_configuration,
)

FILE_SUFFIX = ".json"
# Larger files are not read, so that a wrong path does not fill the memory.
FILE_LIMIT_BYTES = 16 * 1024 * 1024


async def check_front_configuration(path: Path, *, against: str = "") -> Report:
    """Return the findings of a configuration, and what it changes.

    Parameters
    ----------
    path : Path
        JSON file with the object as the store holds it, or its ``Spec`` alone.
    against : str, default=""
        Address of the store, or a file, that holds the configuration in force.
    """
    read = _read_file(path)
    findings = check_configuration(read)
    lines = [finding.text() for finding in findings]
    value: dict[str, Any] = {
        "findings": [dataclasses.asdict(finding) for finding in findings]
    }
    failure: RouterError | None = None
    if against:
        try:
            in_force = await _in_force(against)
        except (PlatformError, SettingsError) as error:
            failure = error
            lines.append(f"error: {error}")
        else:
            changes = configuration_changes(in_force, read)
            value["changes"] = changes
            value["version_in_force"] = in_force.version
            lines += _change_lines(in_force, read, changes)
            finding = _version_finding(in_force, read, changes)
            if finding is not None:
                findings.append(finding)
                lines.append(finding.text())
                value["findings"].append(dataclasses.asdict(finding))
    if read.unread_fields:
        value["unread_fields"] = read.unread_fields
        lines.append("not read by front processes: " + ", ".join(read.unread_fields))
    lines.append(f"{path}: {_counts_text(read)}: {_findings_text(findings)}")
    return Report(lines=lines, value=value, exit_code=_exit_code(findings, failure))


def _read_file(path: Path) -> ReadConfiguration:
    try:
        with path.open("rb") as file:
            data = file.read(FILE_LIMIT_BYTES + 1)
    except OSError as error:
        raise SettingsError(str(error), step=str(path)) from error
    if len(data) > FILE_LIMIT_BYTES:
        raise SettingsError(
            f"more than {FILE_LIMIT_BYTES} bytes, expected fewer", step=str(path)
        )
    try:
        value = msgspec.json.decode(data)
    except (msgspec.DecodeError, RecursionError) as error:
        raise SettingsError(f"invalid JSON: {error}", step=str(path)) from error
    if isinstance(value, dict) and "Spec" in value:
        value = value["Spec"]
    return read_configuration(value)


def _is_file(name: str) -> bool:
    return Path(name).is_file()


async def _in_force(against: str) -> ReadConfiguration:
    if _is_file(against):
        return _read_file(Path(against))
    if not is_address(against):
        raise UsageError(
            f"got {against!r}, expected a file or ip:port", step="--against"
        )
    store = StoreClient(against)
    try:
        batch = await store.list(CONFIGURATION_KIND)
    finally:
        store.close()
    found = [
        read_configuration(entry.spec) for entry in batch.entries if not entry.deleted
    ]
    # Front processes apply the highest version that they can decode.
    valid = [read for read in found if not read.faults]
    if not valid:
        raise PlatformError(
            f"{len(found)} configurations, expected one that can be decoded",
            step="list",
            peer=against,
        )
    return max(valid, key=lambda read: read.version or 0)


def _change_lines(
    in_force: ReadConfiguration, read: ReadConfiguration, changes: list[str]
) -> list[str]:
    unread = unread_sections(in_force, read)
    lines = []
    if unread:
        lines.append(f"not compared, as not all can be read: {', '.join(unread)}")
    if not changes:
        return [*lines, f"no difference from version {in_force.version} in force"]
    return [
        *lines,
        f"{len(changes)} differences from version {in_force.version} in force:",
        *(f"  {line}" for line in changes),
    ]


def _version_finding(
    in_force: ReadConfiguration, read: ReadConfiguration, changes: list[str]
) -> Finding | None:
    """Return the error of a changed configuration that hosts will not apply."""
    if not changes or read.version is None or in_force.version is None:
        return None
    if read.version > in_force.version:
        return None
    return Finding(
        Severity.ERROR,
        "version",
        "$.Version",
        str(read.version),
        f"more than {in_force.version}, the version in force",
    )


def _counts_text(read: ReadConfiguration) -> str:
    key_count = sum(len(customer.keys) for customer in read.customers.values())
    version = "unknown" if read.version is None else read.version
    return (
        f"version {version}, {len(read.routes)} routes, {len(read.services)} services, "
        f"{len(read.customers)} customers, {key_count} keys"
    )


def _findings_text(findings: list[Finding]) -> str:
    error_count = sum(f.severity is Severity.ERROR for f in findings)
    warning_count = len(findings) - error_count
    return f"{error_count} errors, {warning_count} warnings" if findings else "valid"


def _exit_code(findings: list[Finding], failure: RouterError | None) -> ExitCode:
    if any(finding.severity is Severity.ERROR for finding in findings):
        return ExitCode.INVALID_SETTINGS
    if isinstance(failure, PlatformError):
        return ExitCode.PLATFORM_UNAVAILABLE
    if failure is not None:
        return ExitCode.FAILED
    return ExitCode.WARNINGS if findings else ExitCode.DONE

"""Keep what crashes endpoints in the platform's store, for hosts that start later.

Hosts tell each other in messages, which is faster and costs no call of the store. When
all of them are killed at once, only the store still knows.
"""

import asyncio
from collections.abc import Callable, Mapping
from typing import Protocol

import structlog

from sesameknot.clock import Clock
from sesameknot.errors import PlatformError
from sesameknot.platform import (
    CRASH_KIND,
    EntryConflictError,
    EntryError,
    StoreClient,
    StoredEntry,
    decode_crash_report,
    encode_crash_report,
)
from sesameknot.policy.crash_guard import CrashEntry
from sesameknot.protocol.fleet_records import CrashReport
from sesameknot.settings.front import StoreSettings

WRITE_INTERVAL_S = 0.5
# A stale copy of the store is seconds old, so reports are read again after this time.
READ_AGAIN_AFTER_S = 5.0
# Bound the writes when many requests meet several crashes: those of a host in a round,
# and those of all hosts together.
WRITE_LIMIT_COUNT = 2
FLEET_WRITES_PER_S = 20.0

log = structlog.get_logger(__name__)


class RefusalSource(Protocol):
    """Decides what is refused because it crashes endpoints."""

    retention_s: float

    def refused_after_own_crashes(self) -> list[CrashEntry]:
        """Return what is refused and of which this host saw a crash."""

    def merge(self, entries: list[CrashEntry]) -> None:
        """Merge entries that the store holds."""

    def count(self, fingerprint: int) -> int:
        """Return the number of crashes that still count."""

    def answered_since(self, fingerprint: int) -> bool:
        """Return whether what was refused is known as sound since."""


class CrashArchive:
    """Task that reads crash reports at the start, and writes those of this host.

    Parameters
    ----------
    sources : mapping of str to RefusalSource
        Sources by the kind of what they refuse; the kind is part of reports' names.
    store : StoreClient
        The store.
    settings : StoreSettings
        Pause after a failed call.
    host_count : callable
        Returns the number of hosts, which share the limit on writes.
    store_answers : callable
        Returns whether the store has answered since its last failure, as far as this
        host knows. In an outage this task makes no calls of its own.
    clock : Clock
        Source of the time of day.
    """

    def __init__(
        self,
        sources: Mapping[str, RefusalSource],
        *,
        store: StoreClient,
        settings: StoreSettings,
        host_count: Callable[[], int],
        store_answers: Callable[[], bool],
        clock: Clock,
    ) -> None:
        self._sources = sources
        self._store = store
        self._settings = settings
        self._host_count = host_count
        self._store_answers = store_answers
        self._clock = clock
        self._stored_names: set[str] = set()
        self._own_names: set[str] = set()
        self._store_era = store.era
        # Times at which reports are read, the next one last.
        self._read_due_s: list[float] = []

    async def run(self) -> None:
        """Read the reports, then write new ones until cancelled."""
        started_s = self._clock.monotonic_s()
        self._read_due_s = [started_s + READ_AGAIN_AFTER_S, started_s]
        while True:
            written_count = 0
            if self._store_answers():
                try:
                    written_count = await self._read_and_write()
                except PlatformError as error:
                    reason = error.message
                    log.info("crash_reports_failed", step=error.step, reason=reason)
                    await asyncio.sleep(self._settings.retry_max_s)
            pause_s = written_count * self._host_count() / FLEET_WRITES_PER_S
            await asyncio.sleep(max(WRITE_INTERVAL_S, pause_s))

    async def _read_and_write(self) -> int:
        if self._read_due_s and self._clock.monotonic_s() >= self._read_due_s[-1]:
            await self.read_reports()
            self._read_due_s.pop()
        return await self.write_reports()

    async def read_reports(self) -> None:
        """Read the reports once, from a stale copy at a tenth of a call's price.

        Raises
        ------
        PlatformError
            If the store does not answer.
        """
        batch = await self._store.list(CRASH_KIND, allow_stale=True)
        for entry in batch.entries:
            await self._take(entry)
        if batch.entries:
            log.info("crash_reports_read", reports=len(batch.entries))

    async def _take(self, entry: StoredEntry) -> None:
        try:
            report = decode_crash_report(entry)
            source, fingerprint = self._source(report.name)
        except (EntryError, KeyError, ValueError) as error:
            log.warning("entry_rejected", entry=entry.key, reason=str(error))
            return
        age_s = max(0.0, (self._clock.wall_ms() - report.last_crash_ms) / 1000.0)
        if age_s >= source.retention_s:
            await self._store.delete(CRASH_KIND, report.name)
            return
        self._stored_names.add(report.name)
        source.merge([CrashEntry(fingerprint, report.endpoint_ids, age_s)])

    def _source(self, name: str) -> tuple[RefusalSource, int]:
        """Return the source and the fingerprint that the name of a report states."""
        kind, _, digits = name.partition("-")
        return self._sources[kind], int(digits, 16)

    def _is_sound(self, name: str) -> bool:
        source, fingerprint = self._source(name)
        return source.answered_since(fingerprint)

    def _counts(self, name: str) -> bool:
        source, fingerprint = self._source(name)
        return source.count(fingerprint) > 0

    async def write_reports(self) -> int:
        """Write the reports of this host that the store does not hold yet.

        The reports with the most crashes go first. Reports of this host that have
        expired are deleted, and those of any host of what is known as sound since.

        Returns
        -------
        int
            Number of reports written.

        Raises
        ------
        PlatformError
            If the store does not answer.
        """
        if self._store_era and self._store.era != self._store_era:
            # The store came back from a copy that may lack the reports.
            self._stored_names.clear()
        self._store_era = self._store.era
        reports = {report.name: report for report in self._reports()}
        sound_names = {name for name in self._stored_names if self._is_sound(name)}
        for name in (self._own_names - set(reports)) | sound_names:
            await self._store.delete(CRASH_KIND, name)
            log.info("crash_report_deleted", report=name, sound=name in sound_names)
            self._own_names.discard(name)
            self._stored_names.discard(name)
        self._stored_names = {n for n in self._stored_names if self._counts(n)}
        new_reports = [
            report for name, report in reports.items() if name not in self._stored_names
        ]
        new_reports.sort(key=lambda report: -len(report.endpoint_ids))
        written_reports = new_reports[:WRITE_LIMIT_COUNT]
        for report in written_reports:
            await self._write(report)
        return len(written_reports)

    async def _write(self, report: CrashReport) -> None:
        content = encode_crash_report(report)
        try:
            await self._store.create(CRASH_KIND, report.name, content)
        except EntryConflictError:
            log.info("crash_report_exists", report=report.name)
        else:
            self._own_names.add(report.name)
            log.info("crash_report_written", report=report.name)
        self._stored_names.add(report.name)

    def _reports(self) -> list[CrashReport]:
        wall_ms = self._clock.wall_ms()
        return [
            CrashReport(
                name=f"{kind}-{entry.fingerprint:016x}",
                endpoint_ids=entry.endpoint_ids,
                last_crash_ms=wall_ms - int(entry.age_s * 1000),
            )
            for kind, source in self._sources.items()
            for entry in source.refused_after_own_crashes()
        ]

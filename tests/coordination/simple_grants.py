"""Simpler versions of grants, each without one of their rules.

The tests run them to show that the schedules of faults can break the bound.
"""

import math
from contextlib import AbstractContextManager
from unittest import mock

from sesameknot.coordination._endpoint_notices import EndpointNotices
from sesameknot.coordination._fallback_slots import FallbackSlots
from sesameknot.coordination._held_grant import HeldGrant
from sesameknot.coordination.grant_owner import GrantOwner
from sesameknot.state.grant_book import GrantBook


def holder_ignores_expiry() -> AbstractContextManager:
    """Let a holder send under a grant for as long as it has no newer one."""
    limit = HeldGrant.in_flight_limit

    def without_expiry(held, state, now_s, fallback_count):
        if held.seen_number:
            now_s = -math.inf
        return limit(held, state, now_s, fallback_count)

    return mock.patch.object(HeldGrant, "in_flight_limit", without_expiry)


def successor_does_not_wait() -> AbstractContextManager:
    """Let a new owner grant at once."""
    take_over = GrantOwner._take_over

    def at_once(owner, endpoint_id):
        owned = take_over(owner, endpoint_id)
        owned.grants_from_s = owner._clock.monotonic_s()
        owned.book.unreported_count = 0
        return owned

    return mock.patch.object(GrantOwner, "_take_over", at_once)


def owner_ignores_staleness() -> AbstractContextManager:
    """Let an owner grant also when its roster may be outdated."""
    start = GrantOwner.__init__

    def never_stale(owner, *args, **options):
        start(owner, *args, **options | {"stale": lambda: False})

    return mock.patch.object(GrantOwner, "__init__", never_stale)


def expiry_frees_slots() -> AbstractContextManager:
    """Give the slots of an expired grant away, as of a plain lease."""
    max_in_flight_count_of_others = GrantBook.max_in_flight_count_of_others

    def unexpired_only(book, key):
        now_s = book._clock.monotonic_s()
        for other, holder in book._holders.items():
            holder.grants = [g for g in holder.grants if g.expires_s > now_s]
            if other != key and not holder.grants:
                holder.in_flight_count = 0
        return max_in_flight_count_of_others(book, key)

    return mock.patch.object(GrantBook, "max_in_flight_count_of_others", unexpired_only)


def reports_replace_grants() -> AbstractContextManager:
    """Trust a report also about grants that its sender had not seen."""
    record_report = GrantBook.record_report

    def trusting(book, report):
        if holder := book._holders.get(report.holder):
            holder.grants.clear()
            holder.seen_number = 0
        record_report(book, report)

    return mock.patch.object(GrantBook, "record_report", trusting)


def predecessors_work_is_ignored() -> AbstractContextManager:
    """Let a new owner count only requests that are reported to it."""

    def none_unknown(book, since_s):
        book.unreported_count = 0

    return mock.patch.object(GrantBook, "reset_unreported", none_unknown)


def polls_free_unexpired_grants() -> AbstractContextManager:
    """Give slots away that a poll shows as unused."""
    polled = GrantBook.record_poll

    def at_any_time(book, running_count, sampled_s):
        polled(book, running_count, math.inf)

    return mock.patch.object(GrantBook, "record_poll", at_any_time)


def fallback_ignores_state_age() -> AbstractContextManager:
    """Let a router without an owner send however old its evidence is."""

    async def no_refresh(share, endpoint_id):
        return

    return mock.patch.multiple(
        FallbackSlots, slot_count=lambda share, endpoint_id: 1, refresh=no_refresh
    )


def outcomes_are_ignored() -> AbstractContextManager:
    """Learn nothing from how requests end."""
    return mock.patch.object(EndpointNotices, "record_outcome")

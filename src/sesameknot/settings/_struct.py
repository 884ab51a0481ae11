"""Base class of settings records."""

import msgspec


class SettingsStruct(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """An immutable record that rejects unknown keys."""

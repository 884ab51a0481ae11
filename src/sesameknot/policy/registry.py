"""Registries of cascade policies and endpoint choices."""

from collections.abc import Callable

from sesameknot.registry import Registry

CASCADE_POLICIES: Registry[Callable] = Registry("cascade policy")
ENDPOINT_CHOICES: Registry[Callable] = Registry("endpoint choice")

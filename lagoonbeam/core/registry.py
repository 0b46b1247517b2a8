"""A registry of the plug-ins of one family, by name.

Example:
    >>> colours: PluginRegistry[type] = PluginRegistry("colour")
    >>> @colours.register("red")
    ... class Red: ...
    >>> colours.get("red") is Red
    True
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Generic, TypeVar

from lagoonbeam.errors import UnknownPluginError

PluginT = TypeVar("PluginT")


class PluginRegistry(Generic[PluginT]):
    """Maps names to the installed plug-ins of one family.

    Args:
        family: Singular noun for a plug-in, used in error messages.
    """

    def __init__(self, family: str):
        self.family = family
        self._plugins: dict[str, PluginT] = {}

    def register(self, name: str) -> Callable[[PluginT], PluginT]:
        """Returns a decorator that registers a plug-in under a name."""

        def decorate(plugin: PluginT) -> PluginT:
            self._plugins[name] = plugin
            return plugin

        return decorate

    def get(self, name: str) -> PluginT:
        """Returns the plug-in registered under a name.

        Raises:
            UnknownPluginError: If no plug-in has the name.
        """
        if name not in self._plugins:
            raise UnknownPluginError(
                f"got {self.family} {name!r}, expected one of"
                f" {self.list_names()}"
            )
        return self._plugins[name]

    def list_names(self) -> list[str]:
        """Returns the names of all installed plug-ins, sorted."""
        return sorted(self._plugins)

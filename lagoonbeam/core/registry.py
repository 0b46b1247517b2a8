"""A registry in which the plug-ins of one family list themselves.

Example:
    >>> colours: Registry[type] = Registry("colour")
    >>> @colours.register("red")
    ... class Red: ...
    >>> colours.get("red") is Red
    True
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Generic, TypeVar

from lagoonbeam.errors import PluginError

PluginT = TypeVar("PluginT")


class Registry(Generic[PluginT]):
    """Names the installed plug-ins of one family.

    Args:
        family: What the plug-ins are, for error messages.
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
            PluginError: If there is none.
        """
        if name not in self._plugins:
            raise PluginError(
                f"got {self.family} {name!r}, expected one of {self.names()}"
            )
        return self._plugins[name]

    def names(self) -> list[str]:
        """Returns the names of all installed plug-ins, sorted."""
        return sorted(self._plugins)

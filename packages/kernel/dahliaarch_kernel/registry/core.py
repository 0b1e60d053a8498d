"""Lookup of plug-ins by name."""

from collections.abc import Callable
from typing import Generic, TypeVar

from ..errors import RegistryError

Plugin = TypeVar('Plugin')


class Registry(Generic[Plugin]):
    """Plug-ins of one kind, by name.

    Parameters
    ----------
    kind : str
        Kind of the plug-ins, used in error messages.
    """

    def __init__(self, kind: str) -> None:
        """Create an empty registry."""
        self._kind = kind
        self._plugin_by_name: dict[str, Plugin] = {}

    def register(self, name: str) -> Callable[[Plugin], Plugin]:
        """Return a decorator that registers a plug-in under ``name``.

        Raises
        ------
        RegistryError
            If the name is already registered.
        """

        def decorator(plugin: Plugin) -> Plugin:
            if name in self._plugin_by_name:
                raise RegistryError(f'{self._kind} {name!r} is already registered')
            self._plugin_by_name[name] = plugin
            return plugin

        return decorator

    def get(self, name: str) -> Plugin:
        """Return the plug-in registered under ``name``.

        Raises
        ------
        RegistryError
            If no plug-in has that name.
        """
        if name not in self._plugin_by_name:
            known_names = ', '.join(self.names())
            raise RegistryError(f'unknown {self._kind} {name!r}; available: {known_names}')
        return self._plugin_by_name[name]

    def names(self) -> tuple[str, ...]:
        """Return the registered names in alphabetical order."""
        return tuple(sorted(self._plugin_by_name))

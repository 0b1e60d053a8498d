"""A named collection of plug-ins of one kind."""

from collections.abc import Callable
from typing import Generic, TypeVar

from ..errors import RegistryError

Plugin = TypeVar('Plugin')


class Registry(Generic[Plugin]):
    """Plug-ins of one kind, by name.

    Parameters
    ----------
    kind : str
        What the plug-ins are, used in error messages.
    """

    def __init__(self, kind: str) -> None:
        """Start empty."""
        self._kind = kind
        self._plugin_by_name: dict[str, Plugin] = {}

    def register(self, name: str) -> Callable[[Plugin], Plugin]:
        """Return a decorator that records a plug-in under ``name``.

        Raises
        ------
        RegistryError
            When the name is taken.
        """

        def decorator(plugin: Plugin) -> Plugin:
            if name in self._plugin_by_name:
                raise RegistryError(f'{self._kind} {name!r} is registered already')
            self._plugin_by_name[name] = plugin
            return plugin

        return decorator

    def get(self, name: str) -> Plugin:
        """Return the plug-in called ``name``.

        Raises
        ------
        RegistryError
            When there is none.
        """
        if name not in self._plugin_by_name:
            known_names = ', '.join(self.names())
            raise RegistryError(f'unknown {self._kind} {name!r}; known: {known_names}')
        return self._plugin_by_name[name]

    def names(self) -> tuple[str, ...]:
        """Return the registered names in order."""
        return tuple(sorted(self._plugin_by_name))

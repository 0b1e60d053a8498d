"""Exception classes shared by all packages."""

from .core import (
    DahliaarchError,
    JobRejectedError,
    PolicyError,
    ProtocolError,
    RegistryError,
    SettingsError,
)

__all__ = (
    'DahliaarchError',
    'JobRejectedError',
    'PolicyError',
    'ProtocolError',
    'RegistryError',
    'SettingsError',
)

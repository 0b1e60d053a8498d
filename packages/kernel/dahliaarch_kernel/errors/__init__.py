"""Typed exceptions shared by every package."""

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

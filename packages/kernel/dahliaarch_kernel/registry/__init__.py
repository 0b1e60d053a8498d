"""Registry of the kernel's plug-ins."""

from .core import Registry

__all__ = ('Registry',)

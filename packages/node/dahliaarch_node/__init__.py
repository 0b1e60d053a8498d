"""The daemon: one role on every instance, one of which owns the pool."""

"""The daemon. All instances run the same code; one of them at a time owns the pool."""

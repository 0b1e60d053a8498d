"""Checks of the sources that no linter has."""

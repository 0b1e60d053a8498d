"""Source checks that the linters do not provide."""

"""Paces of workers relative to each other, learned from the runs on them."""

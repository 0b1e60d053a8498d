"""Tests of the predictions of run times."""

"""Tests of fair sharing between client accounts."""

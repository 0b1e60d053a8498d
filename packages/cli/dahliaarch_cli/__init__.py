"""Command-line interface: job requests, pool status, log analysis, demonstration and benchmarks."""

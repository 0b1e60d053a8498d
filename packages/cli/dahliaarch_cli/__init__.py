"""The command line: jobs, the state of the pool, explanations and a demonstration."""

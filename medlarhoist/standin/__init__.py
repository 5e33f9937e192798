"""Stand-ins for targets and callers, for tests, benchmarks and the demo."""

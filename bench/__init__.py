"""The demonstration, tests of real processes, and measurements."""

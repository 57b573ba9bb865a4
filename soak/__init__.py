"""Randomised soak test: runs node processes, injects faults, checks invariants."""

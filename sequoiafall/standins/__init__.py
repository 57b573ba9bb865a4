"""Simulated platform and backend servers for the tests, the soak and the demo."""

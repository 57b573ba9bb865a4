"""Adapter of the users' platform: names, formats and calls; it decides nothing."""

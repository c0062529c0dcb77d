"""Measured slopes behind ``docs/CAPACITY.md``."""

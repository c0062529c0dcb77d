"""Watching the health of upstream instances."""

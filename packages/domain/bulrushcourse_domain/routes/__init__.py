"""Routes by host and path prefix, and their weighted services."""

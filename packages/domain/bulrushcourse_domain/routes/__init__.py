"""Routes by host and path prefix, and how their requests are divided."""

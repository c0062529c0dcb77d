"""Stand-ins and drivers for tests; never used in production."""

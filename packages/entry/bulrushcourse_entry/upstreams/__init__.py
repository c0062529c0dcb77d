"""HTTP client of upstream instances."""

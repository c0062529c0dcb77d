"""Health checks of upstream instances."""

"""Log, metrics and state dump."""

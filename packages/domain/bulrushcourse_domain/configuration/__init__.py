"""The configuration that operators edit and publish."""

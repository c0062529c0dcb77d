"""The set of objects that operators edit and publish."""

"""The processes that run on an entry VM."""

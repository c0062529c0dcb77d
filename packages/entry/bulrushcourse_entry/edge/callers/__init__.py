"""Requests of callers: listeners, handlers, execution and outcomes."""

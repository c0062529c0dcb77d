"""Aggregates and decisions, free of encodings and sockets."""

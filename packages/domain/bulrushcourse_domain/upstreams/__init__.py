"""Upstreams as they are known: entries, load, health and warm-up."""

"""Connections and requests to upstreams."""

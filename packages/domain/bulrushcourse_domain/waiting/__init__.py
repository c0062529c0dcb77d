"""Requests that wait for room at upstreams, their order, and who yields."""

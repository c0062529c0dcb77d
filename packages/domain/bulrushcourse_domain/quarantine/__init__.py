"""Requests that end the upstreams that run them."""

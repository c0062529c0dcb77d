"""Requests that wait at this VM until an upstream has room."""

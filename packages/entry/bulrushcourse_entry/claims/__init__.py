"""Requests that must not be repeated: claims, issued keys and outcomes."""

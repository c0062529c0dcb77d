"""Positions in the platform's store, and its returns from a copy."""

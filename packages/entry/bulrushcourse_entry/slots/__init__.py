"""Granting and requesting slots of upstream instances."""

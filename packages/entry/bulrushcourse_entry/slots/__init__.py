"""Asking for slots of upstream instances."""

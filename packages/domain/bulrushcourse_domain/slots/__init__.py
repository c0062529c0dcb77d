"""Granting the slots of upstream instances, and ownership of the pools."""

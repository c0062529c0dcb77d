"""Slots of upstream instances and who may use them."""

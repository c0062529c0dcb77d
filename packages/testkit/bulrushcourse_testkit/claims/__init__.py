"""Trials of the claims on idempotency keys, simulated and with processes."""

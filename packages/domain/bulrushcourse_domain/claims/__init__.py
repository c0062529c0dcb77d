"""Idempotency keys: each runs at most once and reports a proven outcome."""

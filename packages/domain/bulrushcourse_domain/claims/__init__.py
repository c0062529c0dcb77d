"""Claims of idempotency keys: at most one run each, truthful outcomes."""

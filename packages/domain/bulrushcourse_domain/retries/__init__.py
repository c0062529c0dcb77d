"""Retries and hedged requests, and the budgets that limit them."""

"""Shares of limits, pacing on links, and routes within them."""

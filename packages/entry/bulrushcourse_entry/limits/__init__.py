"""Shares of limits, pacing of links, and region selection within them."""

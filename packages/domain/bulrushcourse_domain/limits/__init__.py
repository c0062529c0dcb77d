"""Shares of link and shift limits, and pacing within a share."""

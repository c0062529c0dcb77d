"""Shares of caps on links and shifts, and the pacing within a share."""

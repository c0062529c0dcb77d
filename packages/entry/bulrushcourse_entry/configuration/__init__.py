"""Keeping the newest configuration in force."""

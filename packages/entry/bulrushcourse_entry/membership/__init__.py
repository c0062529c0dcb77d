"""Membership of entries and look-up answers for clients."""
